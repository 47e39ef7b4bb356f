package org.teaselwood.protocol;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import io.vertx.core.parsetools.RecordParser;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaselwood.model.ErrorKind;
import org.teaselwood.model.TeaselwoodException;
import org.teaselwood.protocol.message.ConnectionMessage;
import org.teaselwood.protocol.message.Message;

/**
 * Connection that exchanges length-prefixed message frames over TCP, after a handshake in which both sides prove
 * that they know the shared key. Messages may be sent from any thread; the listener is called on the event loop of
 * the socket.
 *
 * <p>A malformed or oversized frame, or a peer that does not read fast enough, closes only the connection.
 */
public final class MessageConnection {
    /** Protocol version; a peer with another version is rejected. */
    public static final int PROTOCOL_VERSION = 1;

    private static final Logger LOGGER = LoggerFactory.getLogger(MessageConnection.class);
    private static final int LENGTH_PREFIX_BYTES = 4;
    private static final int MAXIMUM_WRITE_QUEUE_BYTES = 4 * 1024 * 1024;

    private final NetSocket socket;
    private final SharedKey key;
    private final byte[] nonce = SharedKey.newNonce();
    private final boolean acceptingSide;
    private final Listener listener;
    private final RecordParser parser;
    private final AtomicLong bytesSent = new AtomicLong();
    private final AtomicLong bytesReceived = new AtomicLong();

    /**
     * Bytes that were sent and are not written to the network. The socket's own queue counts as full after a few
     * messages that another thread has sent, whatever their size.
     */
    private final AtomicLong queuedBytes = new AtomicLong();

    private boolean expectingLength = true;
    private volatile boolean open;

    /** Listener for the events of a connection, called on its event loop. */
    public interface Listener {
        /** Handles the successful end of the handshake. */
        void opened(MessageConnection connection);

        /** Handles a received message. */
        void received(MessageConnection connection, Message message);

        /**
         * Handles the end of the connection, after which no message is received. Called also if the handshake failed.
         */
        void closed(MessageConnection connection);
    }

    private MessageConnection(NetSocket socket, SharedKey key, boolean acceptingSide, Listener listener) {
        this.socket = socket;
        this.key = key;
        this.acceptingSide = acceptingSide;
        this.listener = listener;
        this.parser = RecordParser.newFixed(LENGTH_PREFIX_BYTES, this::handleParsed);
    }

    /**
     * Creates a connection on an accepted socket and sends the challenge. Must be called on the socket's event loop.
     */
    public static MessageConnection accept(NetSocket socket, SharedKey key, Listener listener) {
        MessageConnection connection = new MessageConnection(socket, key, true, listener);
        connection.registerHandlers();
        connection.write(new ConnectionMessage.Challenge(PROTOCOL_VERSION, connection.nonce));
        return connection;
    }

    /** Creates a connection on a socket that this process opened. Must be called on the socket's event loop. */
    public static MessageConnection connect(NetSocket socket, SharedKey key, Listener listener) {
        MessageConnection connection = new MessageConnection(socket, key, false, listener);
        connection.registerHandlers();
        return connection;
    }

    /**
     * Sends a message. Returns false if the connection is not open, or if it was closed because the write queue
     * is full.
     */
    public boolean send(Message message) {
        if (!open) {
            return false;
        }
        if (queuedBytes.get() > MAXIMUM_WRITE_QUEUE_BYTES) {
            LOGGER.warn(
                    "closing the connection to {}: {} bytes are queued, the peer does not read fast enough",
                    socket.remoteAddress(),
                    queuedBytes.get());
            close();
            return false;
        }
        write(message);
        return true;
    }

    /** Closes the connection. */
    public void close() {
        open = false;
        socket.close();
    }

    /** Returns whether the handshake succeeded and the connection is not closed. */
    public boolean isOpen() {
        return open;
    }

    /** Returns the number of bytes sent, including the length prefixes. */
    public long bytesSent() {
        return bytesSent.get();
    }

    /** Returns the number of bytes received, including the length prefixes. */
    public long bytesReceived() {
        return bytesReceived.get();
    }

    private void registerHandlers() {
        socket.handler(buffer -> {
            bytesReceived.addAndGet(buffer.length());
            parser.handle(buffer);
        });
        socket.exceptionHandler(exception -> LOGGER.debug("connection failed", exception));
        socket.closeHandler(ignored -> {
            open = false;
            listener.closed(this);
        });
    }

    private void write(Message message) {
        byte[] frame = MessageCodec.encode(message);
        int length = frame.length + LENGTH_PREFIX_BYTES;
        bytesSent.addAndGet(length);
        queuedBytes.addAndGet(length);
        socket.write(Buffer.buffer(length).appendInt(frame.length).appendBytes(frame))
                .onComplete(written -> queuedBytes.addAndGet(-length));
    }

    private void handleParsed(Buffer buffer) {
        try {
            if (expectingLength) {
                expectFrame(buffer.getInt(0));
            } else {
                expectingLength = true;
                parser.fixedSizeMode(LENGTH_PREFIX_BYTES);
                dispatch(MessageCodec.decode(buffer.getBytes()));
            }
        } catch (TeaselwoodException exception) {
            LOGGER.warn("closing the connection to {}: {}", socket.remoteAddress(), exception.getMessage());
            close();
        } catch (RuntimeException exception) {
            // After an unexpected exception the parser may be out of step, so that later frames would be lost.
            LOGGER.error(
                    "closing the connection to {} after an unexpected exception", socket.remoteAddress(), exception);
            close();
        }
    }

    private void expectFrame(int length) {
        if (length <= 0 || length > MessageCodec.MAXIMUM_FRAME_BYTES) {
            throw TeaselwoodException.of(
                    ErrorKind.FRAME_TOO_LARGE, Integer.toUnsignedString(length), MessageCodec.MAXIMUM_FRAME_BYTES);
        }
        expectingLength = false;
        parser.fixedSizeMode(length);
    }

    private void dispatch(Message message) {
        switch (message) {
            case ConnectionMessage.Challenge challenge
            when !acceptingSide -> {
                requireVersion(challenge.version());
                write(new ConnectionMessage.Proof(PROTOCOL_VERSION, nonce, key.computeProof(challenge.nonce(), false)));
            }
            case ConnectionMessage.Proof proof
            when acceptingSide && !open -> {
                requireVersion(proof.version());
                key.verifyProof(nonce, proof.proof(), false);
                write(new ConnectionMessage.Accepted(key.computeProof(proof.nonce(), true)));
                markOpen();
            }
            case ConnectionMessage.Accepted accepted
            when !acceptingSide && !open -> {
                key.verifyProof(nonce, accepted.proof(), true);
                markOpen();
            }
            case ConnectionMessage other ->
                throw TeaselwoodException.of(
                        ErrorKind.BAD_PEER, "unexpected " + other.getClass().getSimpleName());
            case Message applicationMessage when open -> listener.received(this, applicationMessage);
            case Message prematureMessage ->
                throw TeaselwoodException.of(
                        ErrorKind.BAD_PEER,
                        prematureMessage.getClass().getSimpleName() + " received before the handshake");
        }
    }

    private void markOpen() {
        open = true;
        listener.opened(this);
    }

    private static void requireVersion(int version) {
        if (version != PROTOCOL_VERSION) {
            throw TeaselwoodException.of(ErrorKind.BAD_PEER, "unsupported protocol version " + version);
        }
    }
}
