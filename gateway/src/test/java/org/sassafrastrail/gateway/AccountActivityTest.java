package org.sassafrastrail.gateway;

import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.sassafrastrail.model.AccountName;

import static org.assertj.core.api.Assertions.assertThat;

class AccountActivityTest {

    private final AccountActivity activity = new AccountActivity();

    @Test
    void takeTopSumsEachStepAndResets() {
        add("crew", AccountActivity.Step.ASKED, 30);
        add("crew", AccountActivity.Step.ASKED, 12);
        add("crew", AccountActivity.Step.SENT, 30);
        AccountActivity.Row row = activity.takeTop(1).get(0);
        assertThat(row.cost(AccountActivity.Step.ASKED)).isEqualTo(42);
        assertThat(row.cost(AccountActivity.Step.SENT)).isEqualTo(30);
        assertThat(row.cost(AccountActivity.Step.REFUSED)).isZero();
        assertThat(activity.takeTop(1)).isEmpty();
    }

    @Test
    void takeTopReturnsAccountsThatRequestedMost() {
        add("least", AccountActivity.Step.ASKED, 1);
        add("most", AccountActivity.Step.ASKED, 3);
        add("middle", AccountActivity.Step.ASKED, 2);
        assertThat(activity.takeTop(2)).extracting(row -> row.account().value()).containsExactly("most", "middle");
    }

    @Test
    void accountsThatComeAndGoStayLevel() {
        for (int round = 0; round < 100; round++) {
            add("account-" + round, AccountActivity.Step.ASKED, 1);
            activity.takeTop(1);
        }
        add("last", AccountActivity.Step.ASKED, 1);
        assertThat(activity.accounts()).isEqualTo(1);
    }

    private void add(String account, AccountActivity.Step step, long cost) {
        activity.add(Optional.of(new AccountName(account)), step, cost);
    }
}
