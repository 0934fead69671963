package org.sassafrastrail.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;

/** An answer whose body is read as it comes. A body that breaks off ends in an {@link IOException}. */
public interface HttpResponse extends AutoCloseable {

    /**
     * Returns the status.
     *
     * @return the HTTP status code
     */
    int status();

    /**
     * Finds a header.
     *
     * @param name its name
     * @return its first value
     */
    Optional<String> header(String name);

    /**
     * Returns the body.
     *
     * @return the body as it comes
     */
    InputStream body();

    /** Ends the answer. A connection whose answer was read to its end is kept for another call, else it is closed. */
    @Override
    void close();
}
