package org.teaselwood.entry.configuration;

import org.teaselwood.model.Configuration;

/** Check that the guarantees of a configuration can all be packed on the known backend servers. */
@FunctionalInterface
public interface GuaranteeCheck {
    /**
     * Checks the guarantees of a configuration.
     *
     * @throws org.teaselwood.model.TeaselwoodException of kind GUARANTEES_DO_NOT_FIT if they cannot be packed
     */
    void check(Configuration configuration);
}
