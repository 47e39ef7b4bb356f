import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.Properties;

/** Names of the platform's protocols, read from wire.properties. Immutable. */
final class Wire {
    private static final Properties NAMES = read();

    static final String CONFIGURATION_KEY = name("configurationKey");
    static final String KEY_HEADER = name("keyHeader");
    static final String DEADLINE_HEADER = name("deadlineHeader");
    static final String TARGET_HEADER = name("targetHeader");
    static final String SETTINGS_VARIABLE = name("settingsVariable");
    static final String STEPS = name("steps");
    static final String FENCE = name("fence");
    static final String SEEN = name("seen");
    static final String EXPIRES = name("expires");
    static final String START = name("start");
    static final String STOP = name("stop");
    static final String ITEM = name("item");
    static final String RANGE = name("range");
    static final String WATCH = name("watch");
    static final String TRANSACTION = name("transaction");
    static final String LEASE = name("lease");
    static final String RENEWAL = name("renewal");

    private Wire() {}

    private static String name(String key) {
        return NAMES.getProperty(key);
    }

    private static Properties read() {
        Properties names = new Properties();
        try (InputStream stream = Wire.class.getResourceAsStream("wire.properties")) {
            names.load(stream);
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        return names;
    }
}
