package org.sassafrastrail.gateway;

import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** What an answer means by what proves it, not by its status alone. */
class AnswerJudgeTest {

    private static final String REQUEST = "request";

    private static AnswerKind judge(int status, String named, boolean notRun, boolean begun, boolean events) {
        ResponseFacts facts =
                new ResponseFacts(status, Optional.ofNullable(named), notRun, named != null && !notRun, false, events);
        return AnswerJudge.judge(REQUEST, facts, begun);
    }

    @ParameterizedTest
    @ValueSource(ints = {408, 421, 429, 503})
    void aRefusalCountsOnlyWithTheRequestsIdentifierAndItsWord(int status) {
        assertThat(judge(status, REQUEST, false, false, false)).isEqualTo(AnswerKind.UNPROVEN);
        assertThat(judge(status, null, true, false, false)).isEqualTo(AnswerKind.UNPROVEN);
        assertThat(judge(status, "earlier", true, false, false)).isEqualTo(AnswerKind.FOREIGN);
        assertThat(judge(status, REQUEST, true, false, false))
                .isEqualTo(status == 421 ? AnswerKind.WRONG_UPSTREAM : AnswerKind.DECLINED);
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 204, 404, 500})
    void onlyAStreamOfEventsGoesOnWithOne(int status) {
        assertThat(judge(status, REQUEST, false, true, false)).isEqualTo(AnswerKind.UNFITTING);
        assertThat(judge(status, REQUEST, false, true, true))
                .isEqualTo(status == 200 ? AnswerKind.ANSWERED : AnswerKind.UNFITTING);
    }

    @Test
    void aSuccessNeedsTheIdentifierAndTheReceipt() {
        assertThat(judge(200, REQUEST, false, false, false)).isEqualTo(AnswerKind.ANSWERED);
        assertThat(judge(200, null, false, false, false)).isEqualTo(AnswerKind.FOREIGN);
        assertThat(judge(500, REQUEST, false, false, false)).isEqualTo(AnswerKind.FAILED);
    }
}
