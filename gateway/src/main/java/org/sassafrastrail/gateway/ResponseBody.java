package org.sassafrastrail.gateway;

import java.nio.ByteBuffer;

import org.sassafrastrail.gate.AttemptResult;

/** The way in which the body of one upstream response gets to the caller. */
interface ResponseBody {

    /** Returns how the body gets to the caller. */
    BodyForm form();

    /**
     * Takes a part of the body.
     *
     * @param part the next bytes
     * @return false if the caller can take no more for now
     * @throws UnusableResponseException if the response exceeds a limit or is garbled
     */
    boolean receive(ByteBuffer part) throws UnusableResponseException;

    /**
     * Ends the body after its last byte was received, and with it the response to the caller if the body is usable.
     *
     * @return what the attempt comes to
     */
    End end();

    /**
     * What an attempt comes to at the end of its response.
     *
     * @param result the result of the attempt
     * @param cause why the response is not usable, empty if it is
     */
    record End(AttemptResult result, String cause) {

        static final End DELIVERED = new End(new AttemptResult.Delivered(), "");
    }
}
