package org.teaselwood.workload.placer;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.teaselwood.workload.model.AdviceSettings;

/**
 * Answers of the advice service for one step. Mutable; confined to the placer's duty thread.
 *
 * <p>Whether a backend server may run a step does not change, so that a denial holds for the whole incarnation of the
 * server. An expired ticket is requested again.
 */
final class StepAdvice {
    /** Safety margin before the expiry of a ticket: an order is stored and sent before the server checks the ticket. */
    private static final long EXPIRY_MARGIN_MILLISECONDS = 300;

    private final Map<Incarnation, Ticket> tickets = new HashMap<>();
    private final Set<Incarnation> denied = new HashSet<>();

    /** Whether the queue of the step requires tickets according to the newest configuration. */
    boolean required;

    private record Incarnation(String server, long number) {
        static Incarnation of(ServerState server) {
            return new Incarnation(server.id, server.incarnation);
        }
    }

    private record Ticket(String value, long usableUntil) {}

    /** Returns whether a task of the step may be started on the server. */
    boolean permits(ServerState server, long now) {
        return !required || hasTicket(server, now);
    }

    /** Returns whether the server can be used only after a request to the service. */
    boolean isUnknown(ServerState server, long now) {
        return !denied.contains(Incarnation.of(server)) && !hasTicket(server, now);
    }

    private boolean hasTicket(ServerState server, long now) {
        Ticket ticket = tickets.get(Incarnation.of(server));
        return ticket != null && now < ticket.usableUntil();
    }

    /** Returns the ticket for a start order, empty if there is none. */
    String ticketFor(ServerState server) {
        Ticket ticket = tickets.get(Incarnation.of(server));
        return ticket == null ? "" : ticket.value();
    }

    /**
     * Records an answer of the service.
     *
     * @param asked servers of the request; those without a ticket are denied
     * @param allowed tickets by identifier of the server
     */
    void answered(List<ServerState> asked, Map<String, String> allowed, AdviceSettings settings, long now) {
        long margin = Math.min(EXPIRY_MARGIN_MILLISECONDS, settings.ticketValidityMilliseconds() / 4);
        asked.forEach(server -> {
            String value = allowed.get(server.id);
            if (value == null) {
                denied.add(Incarnation.of(server));
            } else {
                tickets.put(
                        Incarnation.of(server),
                        new Ticket(value, now + settings.ticketValidityMilliseconds() - margin));
            }
        });
    }

    /** Discards the ticket after the backend server refused it. */
    void refused(ServerState server) {
        tickets.remove(Incarnation.of(server));
    }
}
