package org.teaselwood.protocol.message;

import java.util.List;
import java.util.Map;
import org.teaselwood.model.ServiceState;
import org.teaselwood.model.Team;
import org.teaselwood.model.Template;

/**
 * A change of the configuration as an operator asks for it. Immutable.
 *
 * @param identifier chosen by the operator's command; the same identifier means the same change
 * @param baseRevision revision that the operator saw; the change is refused when it moved
 * @param templates templates to publish
 * @param removedTemplates names of templates to remove
 * @param teams teams to publish
 * @param removedTeams names of teams to remove
 * @param serverStates service states to publish
 */
public record ConfigurationChange(
        String identifier,
        long baseRevision,
        List<Template> templates,
        List<String> removedTemplates,
        List<Team> teams,
        List<String> removedTeams,
        Map<String, ServiceState> serverStates) {}
