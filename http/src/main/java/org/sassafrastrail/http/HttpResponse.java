package org.sassafrastrail.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.Optional;

/** An HTTP response whose body is read as a stream. Reading a truncated body throws an {@link IOException}. */
public interface HttpResponse extends AutoCloseable {

    /**
     * Returns the status code.
     *
     * @return the HTTP status code
     */
    int status();

    /**
     * Returns the first value of a header.
     *
     * @param name the name of the header
     * @return the first value, empty if the header is absent
     */
    Optional<String> header(String name);

    /**
     * Returns what marks the end of the body. A body that ends with its connection may have been cut.
     *
     * @return the mark
     */
    ResponseFraming.BodyEnd bodyEnd();

    /**
     * Returns the body.
     *
     * @return a stream that blocks until data arrives
     */
    InputStream body();

    /** Releases the connection: keeps it for reuse if the body was read to its end, and closes it otherwise. */
    @Override
    void close();
}
