package org.teaselwood.protocol;

import java.io.IOException;
import java.util.List;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.TeaselwoodException;

/** Codec for HTTP bodies: a type number followed by a record, both in MessagePack. Thread-safe. */
public final class HttpBodyCodec {
    private static final int MAXIMUM_COLLECTION_ELEMENTS = 65_536;
    private static final RecordCodec RECORD_CODEC = new RecordCodec(MAXIMUM_COLLECTION_ELEMENTS);

    private HttpBodyCodec() {}

    /** Encodes a type number and a record. */
    public static byte[] encode(int number, Record value) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(number);
            RECORD_CODEC.pack(packer, value);
            return packer.toByteArray();
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /**
     * Decodes a record whose type number is the index of its type in the list.
     *
     * @throws TeaselwoodException of kind BAD_FRAME if the body does not start with a well-formed record
     */
    public static <T> T decode(byte[] body, List<Class<? extends T>> types) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body)) {
            int number = unpacker.unpackInt();
            if (number < 0 || number >= types.size()) {
                throw TeaselwoodException.of(ErrorKind.BAD_FRAME, "unknown record type " + number);
            }
            return RECORD_CODEC.unpack(unpacker, types.get(number));
        } catch (IOException | MessagePackException | NegativeArraySizeException exception) {
            throw TeaselwoodException.causedBy(exception, ErrorKind.BAD_FRAME, String.valueOf(exception.getMessage()));
        }
    }
}
