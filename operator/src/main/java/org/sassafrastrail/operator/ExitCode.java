package org.sassafrastrail.operator;

/** How a program ends. */
public enum ExitCode {
    /** It did what was asked. */
    DONE(0),
    /** It refused or failed. */
    FAILED(1),
    /** It was called in a wrong way. */
    USAGE(2);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /**
     * Returns the number for the operating system.
     *
     * @return the exit code
     */
    public int number() {
        return number;
    }
}
