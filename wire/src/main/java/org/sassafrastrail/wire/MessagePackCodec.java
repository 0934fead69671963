package org.sassafrastrail.wire;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.sassafrastrail.fairness.LedgerEntry;
import org.sassafrastrail.fairness.LedgerKey;
import org.sassafrastrail.fairness.LedgerWriter;
import org.sassafrastrail.messages.AccountCount;
import org.sassafrastrail.messages.AccountDemand;
import org.sassafrastrail.messages.AccountUsage;
import org.sassafrastrail.messages.CopiedRow;
import org.sassafrastrail.messages.DrainingUpstream;
import org.sassafrastrail.messages.EvidenceEntry;
import org.sassafrastrail.messages.LimitedUpstream;
import org.sassafrastrail.messages.Message;
import org.sassafrastrail.messages.MoveProgress;
import org.sassafrastrail.messages.RemovedRow;
import org.sassafrastrail.messages.SuspectPart;
import org.sassafrastrail.messages.Suspension;
import org.sassafrastrail.messages.UpstreamCrash;
import org.sassafrastrail.messages.UpstreamEndpoint;
import org.sassafrastrail.messages.UpstreamLoad;
import org.sassafrastrail.messages.UpstreamResponses;
import org.sassafrastrail.messages.WindowUsage;
import org.sassafrastrail.model.AccountName;
import org.sassafrastrail.model.AttemptIdentifier;
import org.sassafrastrail.model.FailureDomainName;
import org.sassafrastrail.model.GrantIdentifier;
import org.sassafrastrail.model.Incarnation;
import org.sassafrastrail.model.MoveIdentifier;
import org.sassafrastrail.model.NodeName;
import org.sassafrastrail.model.RequestIdentifier;
import org.sassafrastrail.model.Revision;
import org.sassafrastrail.model.TargetName;
import org.sassafrastrail.model.TrafficShare;
import org.sassafrastrail.model.UpstreamProfile;
import org.sassafrastrail.model.VersionName;
import org.sassafrastrail.rules.RuleDocument;

/**
 * Encodes a message as one byte with the number of its kind, followed by the message's fields as a MessagePack array
 * without field names.
 */
public final class MessagePackCodec implements MessageCodec {

    private static final List<Class<?>> STRING_VALUE_TYPES = List.of(
            AccountName.class,
            FailureDomainName.class,
            NodeName.class,
            RequestIdentifier.class,
            TargetName.class,
            VersionName.class);
    private static final List<Class<?>> LONG_VALUE_TYPES = List.of(Incarnation.class, Revision.class);
    private static final List<Class<?>> NESTED_TYPES = List.of(
            AccountCount.class,
            AccountDemand.class,
            AccountUsage.class,
            AttemptIdentifier.class,
            CopiedRow.class,
            DrainingUpstream.class,
            EvidenceEntry.class,
            GrantIdentifier.class,
            LedgerEntry.class,
            LedgerKey.class,
            LedgerWriter.class,
            LimitedUpstream.class,
            MoveIdentifier.class,
            MoveProgress.class,
            RemovedRow.class,
            RuleDocument.class,
            SuspectPart.class,
            UpstreamResponses.class,
            Suspension.class,
            TrafficShare.class,
            UpstreamCrash.class,
            UpstreamLoad.class,
            UpstreamEndpoint.class,
            UpstreamProfile.class,
            WindowUsage.class);

    private final ObjectMapper mapper = mapper();

    private static ObjectMapper mapper() {
        ObjectMapper mapper = new ObjectMapper(new MessagePackFactory())
                .registerModule(new Jdk8Module())
                .registerModule(new JavaTimeModule())
                .configure(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS, false);
        STRING_VALUE_TYPES.forEach(type -> mapper.addMixIn(type, StringValueMixIn.class));
        LONG_VALUE_TYPES.forEach(type -> mapper.addMixIn(type, LongValueMixIn.class));
        NESTED_TYPES.forEach(type -> writeAsArray(mapper, type));
        List.of(MessageKind.values()).forEach(kind -> writeAsArray(mapper, kind.type()));
        return mapper;
    }

    private static void writeAsArray(ObjectMapper mapper, Class<?> type) {
        mapper.configOverride(type).setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY));
    }

    @Override
    public byte[] encode(Message message) {
        try {
            byte[] fields = mapper.writeValueAsBytes(message);
            return ByteBuffer.allocate(1 + fields.length)
                    .put(MessageKind.of(message).number())
                    .put(fields)
                    .array();
        } catch (JsonProcessingException impossible) {
            throw new IllegalStateException("message could not be encoded", impossible);
        }
    }

    @Override
    public DecodeResult decode(byte[] content) {
        Optional<MessageKind> kind = content.length == 0 ? Optional.empty() : MessageKind.of(content[0]);
        if (kind.isEmpty()) {
            return new DecodeResult.Rejected(LinkCloseReason.UNKNOWN_KIND);
        }
        try {
            Message message =
                    mapper.readValue(content, 1, content.length - 1, kind.get().type());
            return message == null
                    ? new DecodeResult.Rejected(LinkCloseReason.MALFORMED)
                    : new DecodeResult.Decoded(message);
        } catch (IOException | RuntimeException malformed) {
            return new DecodeResult.Rejected(LinkCloseReason.MALFORMED);
        }
    }

    /** Encodes a type with a single text value as a plain string. */
    private abstract static class StringValueMixIn {

        @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
        StringValueMixIn(String value) {}

        @JsonValue
        abstract String value();
    }

    /** Encodes a type with a single number as a plain integer. */
    private abstract static class LongValueMixIn {

        @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
        LongValueMixIn(long value) {}

        @JsonValue
        abstract long value();
    }
}
