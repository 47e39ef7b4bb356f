package org.teaselwood.store.configuration;

/** Keys of the configuration in the key-value service. */
public final class ConfigurationKeys {
    /** Prefix of every key of the configuration; a single list request for it returns one consistent revision. */
    public static final String PREFIX = "/teaselwood/configuration/";

    /** Key of the head: the current revision and the identifier of the change that created it. */
    public static final String HEAD = PREFIX + "head";

    static final String TEMPLATE = PREFIX + "template/";
    static final String TEAM = PREFIX + "team/";
    static final String SERVER = PREFIX + "server/";
    static final String CHANGE = PREFIX + "change/";

    private ConfigurationKeys() {}
}
