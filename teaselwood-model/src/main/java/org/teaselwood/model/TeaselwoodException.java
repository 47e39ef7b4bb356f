package org.teaselwood.model;

/** Unchecked exception that carries an error kind. Immutable. */
public final class TeaselwoodException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;

    private TeaselwoodException(ErrorKind kind, Throwable cause, Object... arguments) {
        super(kind.message(arguments), cause);
        this.kind = kind;
    }

    /** Creates an exception of a kind with the arguments of its message template. */
    public static TeaselwoodException of(ErrorKind kind, Object... arguments) {
        return new TeaselwoodException(kind, null, arguments);
    }

    /** Creates an exception of a kind with its cause and the arguments of its message template. */
    public static TeaselwoodException causedBy(Throwable cause, ErrorKind kind, Object... arguments) {
        return new TeaselwoodException(kind, cause, arguments);
    }

    /** Returns the kind of the error. */
    public ErrorKind kind() {
        return kind;
    }
}
