package org.sassafrastrail.http;

import java.util.Arrays;
import java.util.OptionalLong;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests how a head frames its body. Guards against MIXED: a length beside chunks cut a complete response short. */
class BodyFramingTest {

    /** Builds headers; several values are separated by a vertical bar, and an empty text stands for no header. */
    private static HeaderMap headers(String transferEncoding, String contentLength) {
        HeaderMap headers = new HeaderMap();
        if (transferEncoding != null) {
            Arrays.stream(transferEncoding.split("\\|"))
                    .forEach(value -> headers.add(Headers.TRANSFER_ENCODING, value));
        }
        if (contentLength != null) {
            Arrays.stream(contentLength.split("\\|")).forEach(value -> headers.add(Headers.CONTENT_LENGTH, value));
        }
        return headers;
    }

    @ParameterizedTest
    @CsvSource({
        ",, CONNECTION_END",
        ", 0, LENGTH",
        ", 400, LENGTH",
        ", 400|400, LENGTH",
        ", '400, 400', LENGTH",
        "chunked,, LAST_CHUNK",
        "Chunked,, LAST_CHUNK",
        "chunked, 400, LAST_CHUNK",
        "chunked, 400|500, LAST_CHUNK"
    })
    void headFramesBody(String transferEncoding, String contentLength, ResponseFraming.BodyEnd end) {
        assertThat(BodyFraming.of(headers(transferEncoding, contentLength)))
                .map(BodyFraming::end)
                .contains(end);
    }

    @ParameterizedTest
    @CsvSource({
        ", 400|500",
        ", '400, 500'",
        ", -1",
        ", +1",
        ", 4x",
        ", ' '",
        ", 9999999999999999999",
        "gzip,",
        "'gzip, chunked',",
        "'chunked, chunked',",
        "chunked|chunked,",
        "identity, 400",
    })
    void contradictionFramesNothing(String transferEncoding, String contentLength) {
        assertThat(BodyFraming.of(headers(transferEncoding, contentLength))).isEmpty();
    }

    @Test
    void onlyFramingInForceIsSentOn() {
        HeaderMap chunked = headers("chunked", "400");
        BodyFraming.of(chunked).orElseThrow().applyTo(chunked);
        assertThat(chunked.getHeaderNames()).isEmpty();
        HeaderMap repeated = headers(null, "400|400");
        BodyFraming.of(repeated).orElseThrow().applyTo(repeated);
        assertThat(repeated.get(Headers.CONTENT_LENGTH)).containsExactly("400");
    }

    @Test
    void lengthIsRead() {
        assertThat(BodyFraming.of(headers(null, "400")).orElseThrow().length()).isEqualTo(OptionalLong.of(400));
        assertThat(BodyFraming.of(headers("chunked", "400")).orElseThrow().length())
                .isEmpty();
    }
}
