package org.teaselwood.protocol;

import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.TeaselwoodException;

/** Encodes a numbered record of a closed list of types in MessagePack, outside of the message frames. Thread-safe. */
public final class RecordBody {
    private static final int MAXIMUM_ELEMENTS = 65_536;
    private static final RecordCodec RECORDS = new RecordCodec(MAXIMUM_ELEMENTS);

    private RecordBody() {}

    /** Encodes a number and a record. */
    public static byte[] encode(int number, Record value) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(number);
            RECORDS.pack(packer, value);
            return packer.toByteArray();
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /**
     * Decodes a record whose number is its index in the list of types.
     *
     * @throws TeaselwoodException of kind BAD_FRAME for anything but one well-formed record
     */
    public static <T> T decode(byte[] body, List<Class<? extends T>> types) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body)) {
            int number = unpacker.unpackInt();
            if (number < 0 || number >= types.size()) {
                throw TeaselwoodException.of(ErrorKind.BAD_FRAME, "unknown record type " + number);
            }
            return RECORDS.unpack(unpacker, types.get(number));
        } catch (IOException | MessagePackException | NegativeArraySizeException exception) {
            throw TeaselwoodException.causedBy(exception, ErrorKind.BAD_FRAME, String.valueOf(exception.getMessage()));
        }
    }
}
