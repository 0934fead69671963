package org.sassafrastrail.operator;

/** The exit codes of the program. */
public enum ExitCode {
    /** The command succeeded. */
    DONE(0),
    /** The command was rejected or failed. */
    FAILED(1),
    /** Invalid usage, for instance an unknown command. */
    USAGE(2);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /**
     * Returns the exit code of the process.
     *
     * @return the exit code
     */
    public int number() {
        return number;
    }
}
