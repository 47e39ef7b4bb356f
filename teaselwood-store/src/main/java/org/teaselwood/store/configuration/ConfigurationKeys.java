package org.teaselwood.store.configuration;

/** Keys of the configuration in the key-value service. */
public final class ConfigurationKeys {
    /** Prefix of every key of the configuration; one list of it is one whole revision. */
    public static final String PREFIX = "/teaselwood/configuration/";

    /** The head: the revision in force and the identifier of the change that made it. */
    public static final String HEAD = PREFIX + "head";

    static final String TEMPLATE = PREFIX + "template/";
    static final String TEAM = PREFIX + "team/";
    static final String SERVER = PREFIX + "server/";
    static final String CHANGE = PREFIX + "change/";

    private ConfigurationKeys() {}
}
