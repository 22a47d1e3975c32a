package io.micatide.model;

import java.util.List;

/** A machine type as the cloud offers it; prices per hour. */
public record MachineType(
        String name,
        Resources resources,
        double cacheGb,
        double fetchGbPerSecond,
        double price,
        double spotPrice,
        long bootMicros,
        List<String> zones) {

    public double priceOf(boolean spot) {
        return spot ? spotPrice : price;
    }
}
