package org.teaselwood.protocol;

import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.protocol.message.Message;

/** Codec for messages: the type number followed by the record, both in MessagePack. Thread-safe. */
public final class MessageCodec {
    /** Maximum size of a frame, in bytes. */
    public static final int MAXIMUM_FRAME_BYTES = 1024 * 1024;

    private static final int MAXIMUM_COLLECTION_ELEMENTS = 65_536;
    private static final RecordCodec RECORD_CODEC = new RecordCodec(MAXIMUM_COLLECTION_ELEMENTS);

    private MessageCodec() {}

    /**
     * Encodes a message.
     *
     * @throws TeaselwoodException of kind FRAME_TOO_LARGE if the frame exceeds {@link #MAXIMUM_FRAME_BYTES}
     */
    public static byte[] encode(Message message) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packInt(MessageTypes.numberOf(message.getClass()));
            RECORD_CODEC.pack(packer, message);
            byte[] frame = packer.toByteArray();
            if (frame.length > MAXIMUM_FRAME_BYTES) {
                throw TeaselwoodException.of(ErrorKind.FRAME_TOO_LARGE, frame.length, MAXIMUM_FRAME_BYTES);
            }
            return frame;
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /**
     * Decodes a frame.
     *
     * @throws TeaselwoodException of kind BAD_FRAME if the frame does not start with a well-formed message
     */
    public static Message decode(byte[] frame) {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame)) {
            int number = unpacker.unpackInt();
            Class<? extends Message> type = MessageTypes.typeOf(number);
            if (type == null) {
                throw TeaselwoodException.of(ErrorKind.BAD_FRAME, "unknown message type " + number);
            }
            return RECORD_CODEC.unpack(unpacker, type);
        } catch (IOException | MessagePackException | NegativeArraySizeException exception) {
            throw TeaselwoodException.causedBy(exception, ErrorKind.BAD_FRAME, String.valueOf(exception.getMessage()));
        }
    }
}
