package io.beryldock.membership;

import com.google.common.collect.Interner;
import com.google.common.collect.Interners;
import com.google.protobuf.ByteString;
import io.beryldock.call.DataCentre;
import io.beryldock.call.Incarnation;
import io.beryldock.call.NodeId;
import io.beryldock.call.ServiceName;
import io.beryldock.membership.MemberRecord.AnnouncedTarget;
import io.beryldock.wire.MembershipRecord;
import io.beryldock.wire.MembershipStatus;
import io.beryldock.wire.MembershipTargetState;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;

/**
 * Converts records to and from their wire format.
 *
 * <p>Data centre names and targets that occur in many records are interned. Thread-safe.
 */
final class MembershipCodec {

    private final Interner<DataCentre> centres = Interners.newStrongInterner();
    private final Interner<Optional<AnnouncedTarget>> targets = Interners.newStrongInterner();

    private MembershipCodec() {}

    static MembershipCodec create() {
        return new MembershipCodec();
    }

    static MembershipRecord encode(MemberRecord member) {
        NodeDescriptor node = member.node();
        MembershipRecord.Builder wire = MembershipRecord.newBuilder()
                .setId(node.id().value())
                .setDataCentre(node.dataCentre().value())
                .setAddress(bytes(node.peerAddress()))
                .setPort(node.peerAddress().getPort())
                .setIncarnationHigh(node.incarnation().high())
                .setIncarnationLow(node.incarnation().low())
                .setGeneration(member.generation())
                .setRevision(member.revision())
                .setStatus(encode(member.status()))
                .setSuperseded(member.superseded());
        member.target()
                .ifPresent(target -> wire.setService(target.service().value())
                        .setSlots(target.slots())
                        .setTargetState(encode(target.state())));
        return wire.build();
    }

    /** Decodes a record; throws {@link IllegalArgumentException} if a field has an invalid value. */
    MemberRecord decode(MembershipRecord wire) {
        NodeDescriptor node = new NodeDescriptor(
                NodeId.of(wire.getId()),
                new Incarnation(wire.getIncarnationHigh(), wire.getIncarnationLow()),
                centres.intern(DataCentre.of(wire.getDataCentre())),
                address(wire.getAddress(), wire.getPort()));
        return new MemberRecord(
                node,
                wire.getGeneration(),
                wire.getRevision(),
                decode(wire.getStatus()),
                targets.intern(target(wire)),
                wire.getSuperseded());
    }

    static ByteString bytes(InetSocketAddress address) {
        return ByteString.copyFrom(address.getAddress().getAddress());
    }

    /** Decodes an address; throws {@link IllegalArgumentException} if the length of {@code bytes} is invalid. */
    static InetSocketAddress address(ByteString bytes, int port) {
        try {
            return new InetSocketAddress(InetAddress.getByAddress(bytes.toByteArray()), port);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("IP address must have 4 or 16 bytes", e);
        }
    }

    private static Optional<AnnouncedTarget> target(MembershipRecord wire) {
        if (wire.getService().isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new AnnouncedTarget(ServiceName.of(wire.getService()), wire.getSlots(), decode(wire.getTargetState())));
    }

    private static MembershipStatus encode(MemberStatus status) {
        return switch (status) {
            case ALIVE -> MembershipStatus.MEMBER_ALIVE;
            case SUSPECTED -> MembershipStatus.MEMBER_SUSPECTED;
            case MISSING -> MembershipStatus.MEMBER_MISSING;
            case FAILED -> MembershipStatus.MEMBER_FAILED;
            case LEFT -> MembershipStatus.MEMBER_LEFT;
        };
    }

    private static MemberStatus decode(MembershipStatus status) {
        return switch (status) {
            case MEMBER_ALIVE -> MemberStatus.ALIVE;
            case MEMBER_SUSPECTED -> MemberStatus.SUSPECTED;
            case MEMBER_MISSING -> MemberStatus.MISSING;
            case MEMBER_FAILED -> MemberStatus.FAILED;
            case MEMBER_LEFT -> MemberStatus.LEFT;
            case UNRECOGNIZED -> throw new IllegalArgumentException("unknown member status");
        };
    }

    private static MembershipTargetState encode(TargetState state) {
        return switch (state) {
            case STARTING -> MembershipTargetState.TARGET_STARTING;
            case READY -> MembershipTargetState.TARGET_READY;
            case LEAVING -> MembershipTargetState.TARGET_LEAVING;
        };
    }

    private static TargetState decode(MembershipTargetState state) {
        return switch (state) {
            case TARGET_STARTING -> TargetState.STARTING;
            case TARGET_READY -> TargetState.READY;
            case TARGET_LEAVING -> TargetState.LEAVING;
            case UNRECOGNIZED -> throw new IllegalArgumentException("unknown target state");
        };
    }
}
