package org.teaselwood.entry.configuration;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import org.teaselwood.model.Configuration;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.ServiceState;
import org.teaselwood.model.Team;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.model.Template;
import org.teaselwood.protocol.MessageCodec;
import org.teaselwood.protocol.message.ConfigurationChange;
import org.teaselwood.protocol.message.EntryMessage;
import org.teaselwood.protocol.message.FrontRequest;
import org.teaselwood.protocol.message.Principal;
import org.teaselwood.settings.ValueTypes;
import org.teaselwood.store.configuration.ConfigurationRules;

/** Computes the configuration that results from a change. Stateless. */
final class ChangePlan {
    private ChangePlan() {}

    /**
     * Returns the configuration after a change.
     *
     * @throws TeaselwoodException of kind BAD_CONFIGURATION if the result is invalid or does not fit into one message
     */
    static Configuration apply(Configuration base, ConfigurationChange change) {
        Map<String, Template> templates =
                replaced("template", base.templates(), change.templates(), Template::name, change.removedTemplates());
        Map<String, Team> teams = replaced("team", base.teams(), change.teams(), Team::name, change.removedTeams());
        Map<String, ServiceState> states = new TreeMap<>(base.serverStates());
        states.putAll(change.serverStates());
        Configuration next = new Configuration(
                base.revision() + 1, templates, teams, ConfigurationRules.withoutServersInService(states));
        ConfigurationRules.require(next);
        requireSendable(next);
        return next;
    }

    /**
     * Returns the digest of a change's content; equal changes have equal digests.
     *
     * @throws TeaselwoodException of kind BAD_REQUEST if the identifier is not a valid name, or FRAME_TOO_LARGE
     */
    static String digestOf(ConfigurationChange change) {
        if (!ValueTypes.isName(change.identifier())) {
            throw TeaselwoodException.of(ErrorKind.BAD_REQUEST, "the identifier of the change is not a valid name");
        }
        ConfigurationChange ordered = new ConfigurationChange(
                change.identifier(),
                change.baseRevision(),
                change.templates(),
                change.removedTemplates(),
                change.teams(),
                change.removedTeams(),
                new TreeMap<>(change.serverStates()));
        byte[] content = MessageCodec.encode(new FrontRequest.ChangeConfiguration(Principal.OPERATOR, ordered, false));
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content));
        } catch (GeneralSecurityException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private static <T> Map<String, T> replaced(
            String kind, Map<String, T> base, List<T> published, Function<T, String> nameOf, List<String> removed) {
        Map<String, T> result = new TreeMap<>(base);
        Set<String> named = new HashSet<>();
        for (String name : removed) {
            require(named.add(name), kind + " " + name + " is listed twice");
            require(result.remove(name) != null, kind + " " + name + " does not exist and cannot be removed");
        }
        for (T item : published) {
            String name = nameOf.apply(item);
            require(named.add(name), kind + " " + name + " is listed twice");
            result.put(name, item);
        }
        return result;
    }

    /** Checks that the configuration fits into one message, because it could not be sent to a peer otherwise. */
    private static void requireSendable(Configuration next) {
        try {
            MessageCodec.encode(new EntryMessage.ConfigurationDocument(next));
        } catch (TeaselwoodException exception) {
            throw TeaselwoodException.causedBy(
                    exception,
                    ErrorKind.BAD_CONFIGURATION,
                    "the configuration does not fit into one message: " + exception.getMessage());
        }
    }

    private static void require(boolean condition, String problem) {
        if (!condition) {
            throw TeaselwoodException.of(ErrorKind.BAD_CONFIGURATION, problem);
        }
    }
}
