package io.micatide.model;

/** A team's guarantee and limit in thousandths; a limit of 0 means that there is none. */
public record Team(String name, long cpus, long cards, long cpusMax, long cardsMax) {
    public boolean allows(Resources used) {
        return (cpusMax == 0 || used.cpus() <= cpusMax) && (cardsMax == 0 || used.cards() <= cardsMax);
    }

    public boolean guarantees(Resources used) {
        return used.cpus() <= cpus && used.cards() <= cards;
    }
}
