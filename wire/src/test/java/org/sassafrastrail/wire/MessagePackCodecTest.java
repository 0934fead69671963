package org.sassafrastrail.wire;

import java.io.IOException;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.sassafrastrail.fairness.LedgerEntry;
import org.sassafrastrail.fairness.LedgerKey;
import org.sassafrastrail.fairness.LedgerWriter;
import org.sassafrastrail.messages.AccountCount;
import org.sassafrastrail.messages.AccountDemand;
import org.sassafrastrail.messages.AccountUsage;
import org.sassafrastrail.messages.AttemptQuery;
import org.sassafrastrail.messages.AttemptReport;
import org.sassafrastrail.messages.CapacityUpdate;
import org.sassafrastrail.messages.CopyRequest;
import org.sassafrastrail.messages.CrashUpdate;
import org.sassafrastrail.messages.Demand;
import org.sassafrastrail.messages.DomainAnnouncement;
import org.sassafrastrail.messages.DrainUpdate;
import org.sassafrastrail.messages.DrainingUpstream;
import org.sassafrastrail.messages.DutyUpdate;
import org.sassafrastrail.messages.EvidenceEntry;
import org.sassafrastrail.messages.EvidenceUpdate;
import org.sassafrastrail.messages.GrantOffer;
import org.sassafrastrail.messages.GrantReturn;
import org.sassafrastrail.messages.Heartbeat;
import org.sassafrastrail.messages.Hello;
import org.sassafrastrail.messages.LedgerUpdate;
import org.sassafrastrail.messages.LimitUpdate;
import org.sassafrastrail.messages.LimitedUpstream;
import org.sassafrastrail.messages.LoadReport;
import org.sassafrastrail.messages.Message;
import org.sassafrastrail.messages.MoveProgress;
import org.sassafrastrail.messages.MoveUpdate;
import org.sassafrastrail.messages.PermitAnswer;
import org.sassafrastrail.messages.PermitRequest;
import org.sassafrastrail.messages.RemovedRow;
import org.sassafrastrail.messages.RulesAnnouncement;
import org.sassafrastrail.messages.RulesRequest;
import org.sassafrastrail.messages.SuspectPart;
import org.sassafrastrail.messages.Suspension;
import org.sassafrastrail.messages.TableCopy;
import org.sassafrastrail.messages.TableUpdate;
import org.sassafrastrail.messages.UpstreamCrash;
import org.sassafrastrail.messages.UpstreamEndpoint;
import org.sassafrastrail.messages.UpstreamLoad;
import org.sassafrastrail.messages.UpstreamResponses;
import org.sassafrastrail.messages.UsageUpdate;
import org.sassafrastrail.messages.WindowUsage;
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.AttemptIdentifier;
import org.sassafrastrail.model.FailureDomainName;
import org.sassafrastrail.model.GrantIdentifier;
import org.sassafrastrail.model.GrantReturnReason;
import org.sassafrastrail.model.Incarnation;
import org.sassafrastrail.model.MoveIdentifier;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.model.RequestIdentifier;
import org.sassafrastrail.model.Revision;
import org.sassafrastrail.model.TargetName;
import org.sassafrastrail.model.UpstreamProfile;
import org.sassafrastrail.model.VersionName;
import org.sassafrastrail.rules.RuleDocument;

import static org.assertj.core.api.Assertions.assertThat;

class MessagePackCodecTest {

    private static final Instant TIME = Instant.parse("2026-12-04T10:00:00.123Z");
    private static final NodeName NODE = new NodeName("sidecar-1");
    private static final Incarnation INCARNATION = new Incarnation(1_770_000_000_000L);
    private static final LedgerWriter LEDGER_WRITER = new LedgerWriter(NODE, INCARNATION);
    private static final TargetName TARGET = new TargetName("report");
    private static final VersionName VERSION = new VersionName("v1");
    private static final MoveIdentifier MOVE = new MoveIdentifier(TARGET, VERSION, new VersionName("v2"), TIME);
    private static final GrantIdentifier GRANT = new GrantIdentifier(NODE, INCARNATION, 77);
    private static final AttemptIdentifier ATTEMPT = new AttemptIdentifier(new RequestIdentifier("request-1"), 2);

    private final MessagePackCodec codec = new MessagePackCodec();

    static Stream<Message> messages() {
        UpstreamProfile profile = new UpstreamProfile(TARGET, VERSION, new FailureDomainName("north"));
        return Stream.of(
                new Hello(1, "key", NODE, INCARNATION, Optional.of(new UpstreamEndpoint(profile, 8080))),
                new Hello(1, "key", NODE, INCARNATION, Optional.empty()),
                new LoadReport(
                        true,
                        List.of(new UpstreamLoad("i-1", 3, 4000), new UpstreamLoad("i-2", 1, 0)),
                        List.of(new AccountUsage("kitchen", 90_000, 70_000))),
                new CrashUpdate(List.of(new UpstreamCrash(
                        "i-1",
                        1_770_000_000_000L,
                        40,
                        true,
                        List.of(new SuspectPart("a1b2", 90, true)),
                        List.of("c3d4")))),
                new DrainUpdate(List.of(new DrainingUpstream("i-1", 1_770_000_000_000L, 40))),
                new LimitUpdate(List.of(
                        new LimitedUpstream("i-1", 1_770_000_000_000L, OptionalDouble.of(11.7), 40),
                        new LimitedUpstream("i-2", 0, OptionalDouble.empty(), 0))),
                new PermitRequest(new LimitedUpstream("i-1", 1_770_000_000_000L, OptionalDouble.of(0.5), 40)),
                new PermitAnswer("i-1", 1_770_000_000_000L, false, 85),
                new DomainAnnouncement(new FailureDomainName("north")),
                new UsageUpdate(
                        1_770_000_000_000L,
                        List.of(new WindowUsage(353_445_120, List.of(new AccountCount("kitchen", 412))))),
                new DutyUpdate("account-usage", 7, 3, 353_445_119, 353_445_120, false, 12),
                new CopyRequest("servers", 17, 2),
                new TableCopy("servers", 18, List.of(), 2),
                new TableUpdate("servers", 17, 18, List.of(), List.of(new RemovedRow("i-1", 18)), 2),
                new CapacityUpdate(
                        7,
                        List.of(new UpstreamResponses(
                                "i-1", 1_770_000_000_000L, true, 3, 2, 4e4, 6e8, 9e2, 3e5, 1.5e7))),
                new Demand(List.of(new AccountDemand(new AccountName("kitchen"), 3, 100, 20))),
                new GrantOffer(GRANT, new AccountName("kitchen"), 1000),
                new GrantReturn(GRANT, GrantReturnReason.NO_DEMAND),
                new AttemptQuery(ATTEMPT, GRANT),
                new AttemptReport(ATTEMPT, AttemptReport.State.ENDED),
                new LedgerUpdate(List.of(
                        new LedgerEntry(LEDGER_WRITER, new LedgerKey(TARGET, new AccountName("kitchen")), 5, -3, 9))),
                new EvidenceUpdate(
                        List.of(new EvidenceEntry(LEDGER_WRITER, MOVE, VERSION, "tell", 9, 8.5, 1.5, 120.25))),
                new MoveUpdate(
                        List.of(MoveProgress.start(MOVE)), List.of(new Suspension(MOVE, MoveProgress.Reason.FAILING))),
                new Heartbeat(new Revision(4), 1, 2, true),
                new RulesRequest(Revision.NONE),
                new RulesAnnouncement(new RuleDocument(new Revision(4), "domain a in # x\n", "karin", TIME)));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void encodedMessageDecodesToItself(Message message) {
        byte[] content = codec.encode(message);
        System.out.println("encoded bytes with frame header "
                + message.getClass().getSimpleName() + " " + (content.length + Frames.HEADER_BYTES));

        assertThat(codec.decode(content)).isEqualTo(new DecodeResult.Decoded(message));
    }

    /** Guards against a nested type that is not registered, whose fields would be written with their names. */
    @ParameterizedTest
    @MethodSource("messages")
    void encodedMessageHasNoFieldNames(Message message) throws IOException {
        byte[] content = codec.encode(message);
        JsonNode fields = new ObjectMapper(new MessagePackFactory()).readTree(content, 1, content.length - 1);
        assertThat(objects(fields)).isEmpty();
    }

    private static Stream<JsonNode> objects(JsonNode node) {
        Stream<JsonNode> nested =
                StreamSupport.stream(node.spliterator(), false).flatMap(MessagePackCodecTest::objects);
        return node.isObject() ? Stream.concat(Stream.of(node), nested) : nested;
    }

    @Test
    void everyMessageTypeHasKindNumber() {
        assertThat(Stream.of(Message.class.getPermittedSubclasses()))
                .allSatisfy(type -> assertThat(MessageKind.values())
                        .anyMatch(kind -> kind.type().equals(type)));
    }

    /** Guards against a link to a gateway of the version before that is closed, because its messages name no era. */
    @Test
    void tableMessageWithoutEraIsOfEraZero() {
        byte[] request = {14, (byte) 0x92, (byte) 0xa2, 'o', 'p', 17};
        byte[] copy = {15, (byte) 0x93, (byte) 0xa2, 'o', 'p', 18, (byte) 0x90};
        assertThat(codec.decode(request)).isEqualTo(new DecodeResult.Decoded(new CopyRequest("op", 17, 0)));
        assertThat(codec.decode(copy)).isEqualTo(new DecodeResult.Decoded(new TableCopy("op", 18, List.of(), 0)));
    }

    @Test
    void undecodableContentIsRejectedWithReason() {
        assertThat(codec.decode(new byte[0])).isEqualTo(new DecodeResult.Rejected(LinkCloseReason.UNKNOWN_KIND));
        assertThat(codec.decode(new byte[] {99, 1})).isEqualTo(new DecodeResult.Rejected(LinkCloseReason.UNKNOWN_KIND));
        assertThat(codec.decode(new byte[] {2, (byte) 0xc1}))
                .isEqualTo(new DecodeResult.Rejected(LinkCloseReason.MALFORMED));
    }

    @Test
    void truncatedContentIsDecodedOrRejected() {
        messages().map(codec::encode).forEach(content -> {
            for (int length = 0; length < content.length; length++) {
                byte[] truncated = Arrays.copyOf(content, length);
                assertThat(codec.decode(truncated)).isInstanceOf(DecodeResult.class);
            }
        });
    }
}
