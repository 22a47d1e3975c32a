package io.micatide.protocol;

/** A message or a settings file that does not follow its protocol; names the field. */
public final class MalformedException extends Exception {
    private static final long serialVersionUID = 1L;
    private final String field;

    public MalformedException(String field, String message) {
        super(field + ": " + message, null, false, false);
        this.field = field;
    }

    public String field() {
        return field;
    }
}
