package org.teaselwood.workload.placer;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.teaselwood.workload.model.AdviceSettings;

/**
 * What the advice service has said about a step. Mutable; confined to the placer's duty thread.
 *
 * <p>Which backend servers may run a step does not change, so that a denial is kept for the life of the server; a
 * ticket is asked for again once it has run out.
 */
final class StepAdvice {
    /** A ticket is used at most until this long before its end: an order is stored and sent first. */
    private static final long MARGIN_MILLISECONDS = 300;

    private final Map<Life, Ticket> tickets = new HashMap<>();
    private final Set<Life> denied = new HashSet<>();

    /** Whether the queue of the step needs tickets, by the newest configuration. */
    boolean required;

    private record Life(String server, long start) {
        static Life of(ServerState server) {
            return new Life(server.id, server.start);
        }
    }

    private record Ticket(String value, long usableUntil) {}

    /** Whether a task of the step may be ordered on the server. */
    boolean permits(ServerState server, long now) {
        return !required || hasTicket(server, now);
    }

    /** Whether the service has to be asked before the server can be used. */
    boolean isUnknown(ServerState server, long now) {
        return !denied.contains(Life.of(server)) && !hasTicket(server, now);
    }

    private boolean hasTicket(ServerState server, long now) {
        Ticket ticket = tickets.get(Life.of(server));
        return ticket != null && now < ticket.usableUntil();
    }

    /** The ticket for an order, empty when there is none. */
    String ticketFor(ServerState server) {
        Ticket ticket = tickets.get(Life.of(server));
        return ticket == null ? "" : ticket.value();
    }

    /** The service has answered. */
    void answered(List<ServerState> asked, Map<String, String> allowed, AdviceSettings settings, long now) {
        long margin = Math.min(MARGIN_MILLISECONDS, settings.validMilliseconds() / 4);
        asked.forEach(server -> {
            String value = allowed.get(server.id);
            if (value == null) {
                denied.add(Life.of(server));
            } else {
                tickets.put(Life.of(server), new Ticket(value, now + settings.validMilliseconds() - margin));
            }
        });
    }

    /** The backend server refused the ticket. */
    void refused(ServerState server) {
        tickets.remove(Life.of(server));
    }
}
