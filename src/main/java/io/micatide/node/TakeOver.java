package io.micatide.node;

import io.micatide.core.MachineType;
import io.micatide.core.Micros;
import io.micatide.core.Row;
import io.micatide.core.StoreKeys;
import io.micatide.net.Reply;
import io.micatide.net.StateClient;
import io.micatide.wire.MalformedException;
import io.micatide.wire.StateCodec;
import java.util.List;

/**
 * Reads what a new leader has to know before it acts: bookings, machine types and, once it has the jobs, the ledgers. Tries again until
 * each is read; tells the leader what it finds and when a part is whole. One for each term.
 */
final class TakeOver extends Actor<TakeOver.Message> {
    sealed interface Message {
    }

    record Read(String prefix, String after) implements Message {
    }

    record Answered(Reply reply, Read asked) implements Message {
    }

    private static final long RETRY_MICROS = 300 * Micros.MILLISECOND;

    private final StateClient state;
    private final LeaderActor leader;
    private final long token;

    TakeOver(Loop loop, StateClient state, LeaderActor leader, long token) {
        super(loop);
        this.state = state;
        this.leader = leader;
        this.token = token;
    }

    /** Reads a prefix from its beginning; {@link StoreKeys#TYPES} is a single row. */
    void read(String prefix) {
        tell(new Read(prefix, null));
    }

    @Override
    protected void receive(Message message) {
        if (message instanceof Read m) {
            if (m.prefix().equals(StoreKeys.TYPES)) {
                state.read(m.prefix(), answer(r -> new Answered(r, m)));
            } else {
                state.list(m.prefix(), m.after(), answer(r -> new Answered(r, m)));
            }
        } else if (message instanceof Answered m) {
            try {
                if (m.asked().prefix().equals(StoreKeys.TYPES)) {
                    types(m.asked(), m.reply());
                } else {
                    page(m.asked(), m.reply());
                }
            } catch (MalformedException e) {
                log.error("stored rows: {}", e.getMessage());
                tellLater(m.asked(), RETRY_MICROS);
            }
        }
    }

    private void types(Read asked, Reply reply) throws MalformedException {
        if (reply.ok()) {
            List<MachineType> types = ((Row.Types) StateCodec.item(reply.body()).row()).types();
            leader.tell(new TermMessage.TypesLoaded(token, types));
        } else if (reply.status() != 404) {
            tellLater(asked, RETRY_MICROS);
            return;
        }
        leader.tell(new TermMessage.PartLoaded(token));
    }

    private void page(Read asked, Reply reply) throws MalformedException {
        if (!reply.ok()) {
            tellLater(asked, RETRY_MICROS);
            return;
        }
        StateCodec.Items page = StateCodec.page(reply.body());
        leader.tell(new TermMessage.RowsLoaded(token, page.items()));
        if (page.more() && !page.items().isEmpty()) {
            tell(new Read(asked.prefix(), page.items().get(page.items().size() - 1).key()));
        } else {
            leader.tell(new TermMessage.PartLoaded(token));
        }
    }
}
