package org.teaselwood.entry.configuration;

import org.teaselwood.model.Configuration;

/** Checks that the guarantees of a configuration can all be packed on the backend servers now known. */
@FunctionalInterface
public interface GuaranteeCheck {
    /**
     * Returns when they can.
     *
     * @throws org.teaselwood.model.TeaselwoodException of kind GUARANTEES_DO_NOT_FIT
     */
    void check(Configuration configuration);
}
