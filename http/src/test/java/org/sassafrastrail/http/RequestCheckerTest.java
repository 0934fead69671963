package org.sassafrastrail.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Guards against UNASKED: a request inside the body of another one was taken for one of its own. */
class RequestCheckerTest {

    private static final String LINE = "POST /x HTTP/1.1\r\nHost: a\r\n";
    private static final String CHUNKED = LINE + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String INSIDE = LINE + "Content-Length: 6\r\n\r\nbooked";
    private static final int TRIES = 2_000;

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads bytes in parts and returns how many of them were readable. */
    private static int read(RequestChecker checker, String text, int partSize) {
        int readable = 0;
        for (int start = 0; start < text.length() && checker.fault().isEmpty(); start += partSize) {
            readable += checker.check(bytes(text.substring(start, Math.min(text.length(), start + partSize))));
        }
        return readable;
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "GET / HTTP/1.1\r\n\r\n",
                "GET / HTTP/1.0\r\nHost: a\r\n\r\n",
                LINE + "Content-Length: 0\r\n\r\n",
                LINE + "content-length:  4 \r\n\r\n\r\n\r\n\r\n",
                LINE + "X-Empty:\r\nX-Text: a b\t;\"\u00e4\"\r\n\r\n",
                LINE + "TRANSFER-encoding:Chunked \r\n\r\n5\r\nhello\r\n0\r\n\r\n",
                CHUNKED + "0005 ;x=\"0\"\r\nhello\r\n0;last\r\nTrailer: a\r\n\r\n",
                CHUNKED + "0\r\n\r\n",
                "\r\n\r\n" + CHUNKED + "2\r\n\r\n\r\n0\r\n\r\n"
            })
    void soundRequestIsFollowedByTheNextWhereverItIsSplit(String request) {
        String text = request + INSIDE + request;
        for (int size = 1; size <= text.length(); size++) {
            RequestChecker checker = new RequestChecker();
            assertThat(read(checker, text, size)).isEqualTo(text.length());
            assertThat(checker.fault()).isEmpty();
            assertThat(checker.requestStarted()).isTrue();
            assertThat(checker.requestStarted()).isTrue();
            assertThat(checker.requestStarted()).isTrue();
            assertThat(checker.requestStarted()).isFalse();
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "zz\r\n",
                "\r\n",
                "g0\r\n",
                "-0\r\n",
                "+0\r\n",
                "0x0\r\n",
                " 0\r\n",
                "0 0\r\n",
                "0\n",
                "0,0\r\n",
                "ffffffffffffffff\r\n",
                "10000000000000000\r\n",
                ";a\r\n",
                "5\r\nhelloX\r\n",
                "5\r\nhello\n",
                "0\r\nno field\r\n",
                "0\r\n\n",
                "\u00000\r\n",
                "0\r\r\n",
                "0;a\rb\r\n",
                "0\r\nTrailer: a\rb\r\n",
                "0\r\nTrailer: a\n"
            })
    void nothingIsReadAfterFaultInChunks(String unsound) {
        String text = CHUNKED + "3\r\nabc\r\n" + unsound + "\r\n" + INSIDE;
        for (int size = 1; size <= text.length(); size++) {
            RequestChecker checker = new RequestChecker();
            assertThat(read(checker, text, size)).isLessThan(text.length() - INSIDE.length() + LINE.length());
            assertThat(checker.fault()).isPresent();
            assertThat(checker.check(bytes(INSIDE))).isZero();
            assertThat(checker.requestStarted()).isTrue();
            assertThat(checker.requestStarted()).isFalse();
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
                "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                "Transfer-Encoding: chunked, identity\r\n",
                "Transfer-Encoding: gzip, chunked\r\n",
                "Transfer-Encoding: xchunked\r\n",
                "Transfer-Encoding: \"chunked\"\r\n",
                "Transfer-Encoding: identity\r\n",
                "Transfer-Encoding:\r\n",
                "Transfer-Encoding : chunked\r\n",
                "Transfer-Encoding\t: chunked\r\n",
                "Transfer-Encoding:\r\n chunked\r\n",
                " Transfer-Encoding: chunked\r\n",
                "X: a\rTransfer-Encoding: chunked\r\n",
                "X: a\nTransfer-Encoding: chunked\r\n",
                "X: a\u0000\r\n",
                "Content-Length: 3\r\nContent-Length: 4\r\n",
                "Content-Length: 3\r\nContent-Length: 3\r\n",
                "Content-Length: 3, 3\r\n",
                "Content-Length: +3\r\n",
                "Content-Length: -3\r\n",
                "Content-Length: 0x3\r\n",
                "Content-Length: 3 3\r\n",
                "Content-Length:\r\n",
                "Content-Length : 3\r\n",
                "Content-Length: 9999999999999999999\r\n",
                ": a\r\n",
                "no field\r\n"
            })
    void headWithFaultIsReadToItsEndAndNotAccepted(String fields) {
        String head = LINE + fields + "\r\n";
        String text = head + INSIDE;
        for (int size = 1; size <= text.length(); size++) {
            RequestChecker checker = new RequestChecker();
            assertThat(read(checker, text, size)).isEqualTo(head.length());
            assertThat(checker.fault()).isPresent();
            assertThat(checker.check(bytes(INSIDE))).isZero();
            assertThat(checker.requestStarted()).isFalse();
        }
    }

    @Test
    void oldVersionHasNoChunks() {
        RequestChecker checker = new RequestChecker();
        String target = "/" + "x".repeat(5_000);
        checker.check(bytes("POST " + target + " HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));
        assertThat(checker.fault()).isPresent();
    }

    /** The requests after one whose bytes were changed at random are never more than were sent, and the checker never fails. */
    @Test
    void changedRequestsAddNone() {
        Random random = new Random(58);
        String requests = CHUNKED + "5\r\nhello\r\n0\r\n\r\n" + INSIDE;
        for (int count = 0; count < TRIES; count++) {
            StringBuilder text = new StringBuilder(requests);
            text.setCharAt(random.nextInt(requests.length()), (char) random.nextInt(256));
            RequestChecker checker = new RequestChecker();
            assertThat(read(checker, text.toString(), 1 + random.nextInt(80))).isLessThanOrEqualTo(requests.length());
            checker.requestStarted();
            checker.requestStarted();
            assertThat(checker.requestStarted()).as(text.toString()).isFalse();
        }
    }
}
