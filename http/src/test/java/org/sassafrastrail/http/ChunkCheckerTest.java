package org.sassafrastrail.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests the check of chunked responses. Guards against ORDER: garbage between chunks was taken for the last chunk. */
class ChunkCheckerTest {

    private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Request-Id: a\r\n\r\n";
    private static final String CHUNKS = "3\r\nabc\r\n00a ; x=\"y\"\r\n0\r\n\r\n12345\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";
    private static final int TRIES = 500;

    private static ByteBuffer bytes(String text) {
        return ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static ChunkChecker checker() {
        ChunkChecker checker = new ChunkChecker();
        checker.requestSent(true);
        return checker;
    }

    /** Reads a response in parts and returns how many bytes were sound. */
    private static int read(ChunkChecker checker, String response, int partSize) {
        int sound = 0;
        for (int start = 0; start < response.length() && checker.fault().isEmpty(); start += partSize) {
            sound += checker.check(bytes(response.substring(start, Math.min(response.length(), start + partSize))));
        }
        return sound;
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                HEAD + CHUNKS + LAST_CHUNK,
                HEAD + CHUNKS + "000;last\r\nTrailer: a\r\nOther: b\r\n\r\n",
                HEAD + CHUNKS + LAST_CHUNK + "bytes after the response\r\n\r\n",
                "\r\n" + HEAD + CHUNKS + LAST_CHUNK,
                "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + HEAD + CHUNKS + LAST_CHUNK,
                "HTTP/1.1 200 OK\r\ntransfer-ENCODING:Chunked \r\n\r\n" + CHUNKS + LAST_CHUNK,
                "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\ngarbage\r\n\r\n",
                "HTTP/1.1 200 OK\r\n\r\ngarbage\r\n\r\n"
            })
    void soundResponseHasNoFaultWhereverItIsSplit(String response) {
        for (int size = 1; size <= response.length(); size++) {
            ChunkChecker checker = checker();
            assertThat(read(checker, response, size)).isEqualTo(response.length());
            assertThat(checker.fault()).isEmpty();
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "garbage\r\n",
                "\r\n",
                "0garbage\r\n",
                "garbage0\r\n",
                "-1\r\n",
                "0x3\r\n",
                " 3\r\n",
                "3 4\r\n",
                "3\n",
                "ffffffffffffffff\r\n",
                ";a\r\n",
                "\u0000\u00ff\r\n",
                "0\r\ngarbage\r\n\r\n",
                "0\r\n\n",
                "HTTP/1.1 500 Internal Server Error\r\n"
            })
    void nothingIsSoundFromFaultOn(String garbage) {
        String response = HEAD + CHUNKS + garbage + CHUNKS + LAST_CHUNK;
        for (int size = 1; size <= response.length(); size++) {
            ChunkChecker checker = checker();
            assertThat(read(checker, response, size)).isLessThan(HEAD.length() + CHUNKS.length() + garbage.length());
            assertThat(checker.fault()).isPresent();
        }
        int sound = read(checker(), response, response.length());
        assertThat(sound)
                .isBetween(HEAD.length() + CHUNKS.length(), HEAD.length() + CHUNKS.length() + "0\r\n".length());
    }

    @Test
    void chunkThatIsLongerThanItsSizeIsFault() {
        ChunkChecker checker = checker();
        assertThat(read(checker, HEAD + "3\r\nabcd\r\n" + LAST_CHUNK, Integer.MAX_VALUE / 2))
                .isEqualTo(HEAD.length() + "3\r\nabc".length());
        assertThat(checker.fault()).isPresent();
    }

    @Test
    void responseToHeadRequestHasNoBody() {
        ChunkChecker checker = new ChunkChecker();
        checker.requestSent(false);
        checker.check(bytes(HEAD));
        checker.requestSent(true);
        checker.check(bytes(HEAD + CHUNKS + LAST_CHUNK));
        assertThat(checker.fault()).isEmpty();
    }

    @Test
    void nextResponseIsCheckedAnew() {
        ChunkChecker checker = checker();
        checker.check(bytes(HEAD + CHUNKS + LAST_CHUNK));
        checker.requestSent(true);
        checker.check(bytes("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"));
        checker.requestSent(true);
        checker.check(bytes(HEAD + "garbage\r\n"));
        assertThat(checker.fault()).isPresent();
    }

    /** Chunks of random bytes have no fault. With one byte replaced, the checker stops at a fault or reads on, but never fails. */
    @Test
    void randomChunksHaveNoFault() {
        Random random = new Random(44);
        for (int count = 0; count < TRIES; count++) {
            StringBuilder response = new StringBuilder(HEAD);
            for (int chunk = random.nextInt(5); chunk >= 0; chunk--) {
                byte[] data = new byte[1 + random.nextInt(60)];
                random.nextBytes(data);
                response.append(Integer.toHexString(data.length)).append("\r\n");
                response.append(new String(data, StandardCharsets.ISO_8859_1)).append("\r\n");
            }
            response.append(LAST_CHUNK);
            ChunkChecker checker = checker();
            assertThat(read(checker, response.toString(), 1 + random.nextInt(80)))
                    .isEqualTo(response.length());
            response.setCharAt(
                    HEAD.length() + random.nextInt(response.length() - HEAD.length()), (char) random.nextInt(256));
            assertThat(read(checker(), response.toString(), 1 + random.nextInt(80)))
                    .isBetween(HEAD.length(), response.length());
        }
    }
}
