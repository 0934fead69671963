package org.sassafrastrail.gateway;

import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Tests that responses are classified by their identifier and receipt, not by their status alone. */
class ResponseClassifierTest {

    private static final String REQUEST = "request";

    private static ResponseKind classify(
            int status, String identifier, boolean notExecuted, boolean streamStarted, boolean eventStream) {
        ResponseFacts facts = new ResponseFacts(
                status,
                Optional.ofNullable(identifier),
                notExecuted,
                identifier != null && !notExecuted,
                false,
                eventStream);
        return ResponseClassifier.classify(REQUEST, facts, streamStarted);
    }

    @ParameterizedTest
    @ValueSource(ints = {408, 421, 429, 503})
    void refusalNeedsRequestIdentifierAndNotExecutedMark(int status) {
        assertThat(classify(status, REQUEST, false, false, false)).isEqualTo(ResponseKind.UNPROVEN);
        assertThat(classify(status, null, true, false, false)).isEqualTo(ResponseKind.UNPROVEN);
        assertThat(classify(status, "earlier", true, false, false)).isEqualTo(ResponseKind.FOREIGN);
        assertThat(classify(status, REQUEST, true, false, false))
                .isEqualTo(status == 421 ? ResponseKind.WRONG_UPSTREAM : ResponseKind.DECLINED);
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 204, 404, 500})
    void onlyEventStreamContinuesStartedStream(int status) {
        assertThat(classify(status, REQUEST, false, true, false)).isEqualTo(ResponseKind.UNFITTING);
        assertThat(classify(status, REQUEST, false, true, true))
                .isEqualTo(status == 200 ? ResponseKind.ANSWERED : ResponseKind.UNFITTING);
    }

    /** Guards against DENIED: additional bytes after a response were taken for the client error of the next request. */
    @ParameterizedTest
    @ValueSource(ints = {200, 204, 302, 400, 404, 413, 500, 502, 504})
    void responseWithoutRequestIdentifierIsForeign(int status) {
        assertThat(classify(status, null, false, false, false)).isEqualTo(ResponseKind.FOREIGN);
        assertThat(classify(status, null, false, true, true)).isEqualTo(ResponseKind.FOREIGN);
        assertThat(classify(status, "earlier", false, false, false)).isEqualTo(ResponseKind.FOREIGN);
    }

    @ParameterizedTest
    @ValueSource(ints = {400, 404, 413})
    void clientErrorThatNamesRequestIsAnswer(int status) {
        assertThat(classify(status, REQUEST, false, false, false)).isEqualTo(ResponseKind.ANSWERED);
    }

    /** Guards against ORDER: the bytes after an informational response were forwarded as its body. */
    @ParameterizedTest
    @ValueSource(ints = {101, 103, 199})
    void informationalResponseIsForeign(int status) {
        assertThat(classify(status, REQUEST, false, false, false)).isEqualTo(ResponseKind.FOREIGN);
        assertThat(classify(status, REQUEST, false, true, true)).isEqualTo(ResponseKind.FOREIGN);
        assertThat(classify(status, REQUEST, true, false, false)).isEqualTo(ResponseKind.FOREIGN);
    }

    @Test
    void successNeedsRequestIdentifierAndReceipt() {
        assertThat(classify(200, REQUEST, false, false, false)).isEqualTo(ResponseKind.ANSWERED);
        assertThat(classify(200, null, false, false, false)).isEqualTo(ResponseKind.FOREIGN);
        assertThat(classify(500, REQUEST, false, false, false)).isEqualTo(ResponseKind.FAILED);
    }
}
