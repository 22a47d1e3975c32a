package io.micatide.protocol;

/** Thrown if a message, a stored value or a settings file does not have the expected form. It has no stack trace. */
public final class MalformedException extends Exception {
    private static final long serialVersionUID = 1L;
    private final String field;

    /**
     * Creates an exception whose message is {@code field: message}.
     *
     * @param field name or path of the field at fault
     * @param message what was expected
     */
    public MalformedException(String field, String message) {
        super(field + ": " + message, null, false, false);
        this.field = field;
    }

    /** Returns the name or path of the field at fault. */
    public String field() {
        return field;
    }
}
