package org.sassafrastrail.wire;

import java.util.Arrays;
import java.util.Optional;

import org.sassafrastrail.messages.AttemptQuery;
import org.sassafrastrail.messages.AttemptReport;
import org.sassafrastrail.messages.CapacityUpdate;
import org.sassafrastrail.messages.CopyRequest;
import org.sassafrastrail.messages.CrashUpdate;
import org.sassafrastrail.messages.Demand;
import org.sassafrastrail.messages.DomainAnnouncement;
import org.sassafrastrail.messages.DrainUpdate;
import org.sassafrastrail.messages.DutyUpdate;
import org.sassafrastrail.messages.EvidenceUpdate;
import org.sassafrastrail.messages.GrantOffer;
import org.sassafrastrail.messages.GrantReturn;
import org.sassafrastrail.messages.Heartbeat;
import org.sassafrastrail.messages.Hello;
import org.sassafrastrail.messages.LedgerUpdate;
import org.sassafrastrail.messages.LimitUpdate;
import org.sassafrastrail.messages.LoadReport;
import org.sassafrastrail.messages.Message;
import org.sassafrastrail.messages.MoveUpdate;
import org.sassafrastrail.messages.PermitAnswer;
import org.sassafrastrail.messages.PermitRequest;
import org.sassafrastrail.messages.RulesAnnouncement;
import org.sassafrastrail.messages.RulesRequest;
import org.sassafrastrail.messages.TableCopy;
import org.sassafrastrail.messages.TableUpdate;
import org.sassafrastrail.messages.UsageUpdate;

/** The kinds of messages, each with the number that identifies it in a frame. A number is never reused for another kind. */
enum MessageKind {
    HELLO(1, Hello.class),
    DEMAND(2, Demand.class),
    GRANT_OFFER(3, GrantOffer.class),
    GRANT_RETURN(4, GrantReturn.class),
    ATTEMPT_QUERY(5, AttemptQuery.class),
    ATTEMPT_REPORT(6, AttemptReport.class),
    LEDGER_UPDATE(7, LedgerUpdate.class),
    EVIDENCE_UPDATE(8, EvidenceUpdate.class),
    MOVE_UPDATE(9, MoveUpdate.class),
    HEARTBEAT(10, Heartbeat.class),
    RULES_REQUEST(11, RulesRequest.class),
    RULES_ANNOUNCEMENT(12, RulesAnnouncement.class),
    LOAD_REPORT(13, LoadReport.class),
    COPY_REQUEST(14, CopyRequest.class),
    TABLE_COPY(15, TableCopy.class),
    CRASH_UPDATE(16, CrashUpdate.class),
    DRAIN_UPDATE(17, DrainUpdate.class),
    LIMIT_UPDATE(18, LimitUpdate.class),
    PERMIT_REQUEST(19, PermitRequest.class),
    PERMIT_ANSWER(20, PermitAnswer.class),
    DOMAIN_ANNOUNCEMENT(21, DomainAnnouncement.class),
    TABLE_UPDATE(22, TableUpdate.class),
    CAPACITY_UPDATE(23, CapacityUpdate.class),
    USAGE_UPDATE(30, UsageUpdate.class),
    DUTY_UPDATE(31, DutyUpdate.class);

    private final byte number;
    private final Class<? extends Message> type;

    MessageKind(int number, Class<? extends Message> type) {
        this.number = (byte) number;
        this.type = type;
    }

    byte number() {
        return number;
    }

    Class<? extends Message> type() {
        return type;
    }

    static MessageKind of(Message message) {
        return Arrays.stream(values())
                .filter(kind -> kind.type == message.getClass())
                .findFirst()
                .orElseThrow();
    }

    static Optional<MessageKind> of(byte number) {
        return Arrays.stream(values()).filter(kind -> kind.number == number).findFirst();
    }
}
