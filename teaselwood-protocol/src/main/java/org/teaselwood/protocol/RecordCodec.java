package org.teaselwood.protocol;

import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.protocol.message.AbsentInEarlierBuilds;
import org.teaselwood.protocol.message.Message;

/**
 * Codec that packs a record as a MessagePack array of its components in declaration order. A component whose type is a
 * sealed message interface is packed as the wire number of the message followed by its record. Thread-safe.
 *
 * <p>The codec uses reflection, so that adding a message requires only its record and wire number. Components may be
 * int, long, double, boolean, String, byte[], enums, records, and List, Set, Map and Optional of these. Trailing
 * elements that the receiver does not know are skipped, so that a newer sender can add fields during a rolling upgrade.
 * For the same reason, a trailing boolean with {@link AbsentInEarlierBuilds} is false if it is missing; any other
 * missing field is refused.
 */
final class RecordCodec {
    private final Map<Class<?>, Layout> layouts = new ConcurrentHashMap<>();
    private final int maximumCollectionElements;

    /** Creates a codec that rejects collections with more than the given number of elements. */
    RecordCodec(int maximumCollectionElements) {
        this.maximumCollectionElements = maximumCollectionElements;
    }

    void pack(MessagePacker packer, Object value) throws IOException {
        Layout layout = layoutOf(value.getClass());
        packer.packArrayHeader(layout.components.length);
        for (RecordComponent component : layout.components) {
            packValue(packer, component.getGenericType(), layout.read(component, value));
        }
    }

    <T> T unpack(MessageUnpacker unpacker, Class<T> type) throws IOException {
        Layout layout = layoutOf(type);
        int fieldCount = unpacker.unpackArrayHeader();
        if (fieldCount < layout.requiredFields()) {
            throw badFrame(type.getSimpleName() + " has only " + fieldCount + " fields");
        }
        Object[] values = new Object[layout.components.length];
        for (int index = 0; index < values.length; index++) {
            values[index] = index < fieldCount
                    ? unpackValue(unpacker, layout.components[index].getGenericType())
                    : Boolean.FALSE;
        }
        unpacker.skipValue(Math.max(0, fieldCount - values.length));
        return type.cast(layout.create(values));
    }

    private void packValue(MessagePacker packer, Type type, Object value) throws IOException {
        switch (value) {
            case Integer number -> packer.packInt(number);
            case Long number -> packer.packLong(number);
            case Double number -> packer.packDouble(number);
            case Boolean flag -> packer.packBoolean(flag);
            case String text -> packer.packString(text);
            case Enum<?> constant -> packer.packString(constant.name());
            case byte[] bytes -> {
                packer.packBinaryHeader(bytes.length);
                packer.writePayload(bytes);
            }
            case Map<?, ?> map -> {
                packer.packMapHeader(map.size());
                for (Map.Entry<?, ?> entry : map.entrySet()) {
                    packValue(packer, typeArgument(type, 0), entry.getKey());
                    packValue(packer, typeArgument(type, 1), entry.getValue());
                }
            }
            case Optional<?> optional ->
                packElements(packer, typeArgument(type, 0), optional.stream().toList());
            case Iterable<?> elements -> packElements(packer, typeArgument(type, 0), elements);
            case Record nested -> {
                if (type instanceof Class<?> declared && declared.isInterface()) {
                    packer.packInt(MessageTypes.numberOf(messageType(nested)));
                }
                pack(packer, nested);
            }
            case null, default -> throw new IllegalArgumentException("cannot pack a value of " + type);
        }
    }

    private void packElements(MessagePacker packer, Type elementType, Iterable<?> elements) throws IOException {
        List<Object> list = new ArrayList<>();
        elements.forEach(list::add);
        packer.packArrayHeader(list.size());
        for (Object element : list) {
            packValue(packer, elementType, element);
        }
    }

    private Object unpackValue(MessageUnpacker unpacker, Type type) throws IOException {
        if (type instanceof ParameterizedType parameterized) {
            return unpackCollection(unpacker, parameterized);
        }
        Class<?> declared = (Class<?>) type;
        if (declared == int.class || declared == Integer.class) {
            return unpacker.unpackInt();
        } else if (declared == long.class || declared == Long.class) {
            return unpacker.unpackLong();
        } else if (declared == double.class || declared == Double.class) {
            return unpacker.unpackDouble();
        } else if (declared == boolean.class || declared == Boolean.class) {
            return unpacker.unpackBoolean();
        } else if (declared == String.class) {
            return unpacker.unpackString();
        } else if (declared == byte[].class) {
            return unpacker.readPayload(unpacker.unpackBinaryHeader());
        } else if (declared.isEnum()) {
            return enumConstant(declared, unpacker.unpackString());
        } else if (declared.isInterface()) {
            return unpackMessage(unpacker, declared);
        }
        return unpack(unpacker, declared);
    }

    private Object unpackMessage(MessageUnpacker unpacker, Class<?> declared) throws IOException {
        int number = unpacker.unpackInt();
        Class<?> concrete = MessageTypes.typeOf(number);
        if (concrete == null || !declared.isAssignableFrom(concrete)) {
            throw badFrame("message type " + number + " is not allowed here");
        }
        return unpack(unpacker, concrete);
    }

    private Object unpackCollection(MessageUnpacker unpacker, ParameterizedType type) throws IOException {
        if (type.getRawType() == Map.class) {
            int size = checkedSize(unpacker.unpackMapHeader());
            Map<Object, Object> map = new LinkedHashMap<>();
            for (int index = 0; index < size; index++) {
                Object key = unpackValue(unpacker, typeArgument(type, 0));
                map.put(key, unpackValue(unpacker, typeArgument(type, 1)));
            }
            return map;
        }
        int size = checkedSize(unpacker.unpackArrayHeader());
        List<Object> list = new ArrayList<>();
        for (int index = 0; index < size; index++) {
            list.add(unpackValue(unpacker, typeArgument(type, 0)));
        }
        if (type.getRawType() == Optional.class) {
            return list.stream().findFirst();
        }
        return type.getRawType() == Set.class ? new LinkedHashSet<>(list) : List.copyOf(list);
    }

    private int checkedSize(int size) {
        if (size > maximumCollectionElements) {
            throw badFrame("a collection of " + size + " elements exceeds the limit of " + maximumCollectionElements);
        }
        return size;
    }

    private static Object enumConstant(Class<?> type, String name) {
        return Arrays.stream(type.getEnumConstants())
                .filter(constant -> ((Enum<?>) constant).name().equals(name))
                .findFirst()
                .orElseThrow(() -> badFrame(name + " is not a constant of " + type.getSimpleName()));
    }

    private static Class<? extends Message> messageType(Record message) {
        return message.getClass().asSubclass(Message.class);
    }

    private static Type typeArgument(Type type, int index) {
        return ((ParameterizedType) type).getActualTypeArguments()[index];
    }

    private static TeaselwoodException badFrame(String detail) {
        return TeaselwoodException.of(ErrorKind.BAD_FRAME, detail);
    }

    private Layout layoutOf(Class<?> type) {
        return layouts.computeIfAbsent(type, Layout::new);
    }

    /** Components and canonical constructor of one record type. Immutable. */
    private static final class Layout {
        private final RecordComponent[] components;
        private final Constructor<?> constructor;

        Layout(Class<?> type) {
            components = type.getRecordComponents();
            Class<?>[] types =
                    Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
            try {
                constructor = type.getDeclaredConstructor(types);
            } catch (NoSuchMethodException exception) {
                throw new IllegalArgumentException(type + " is not a record", exception);
            }
        }

        /** Returns the number of fields that every build sends. */
        int requiredFields() {
            return (int) Arrays.stream(components)
                    .filter(component -> !component.isAnnotationPresent(AbsentInEarlierBuilds.class))
                    .count();
        }

        Object read(RecordComponent component, Object value) {
            try {
                return component.getAccessor().invoke(value);
            } catch (ReflectiveOperationException exception) {
                throw new IllegalStateException(exception);
            }
        }

        Object create(Object[] values) {
            try {
                return constructor.newInstance(values);
            } catch (InvocationTargetException exception) {
                throw TeaselwoodException.causedBy(
                        exception,
                        ErrorKind.BAD_FRAME,
                        String.valueOf(exception.getCause().getMessage()));
            } catch (ReflectiveOperationException exception) {
                throw new IllegalStateException(exception);
            }
        }
    }
}
