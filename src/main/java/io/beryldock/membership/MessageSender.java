package io.beryldock.membership;

import com.google.protobuf.ByteString;
import io.beryldock.wire.MembershipMessage;
import java.net.InetSocketAddress;
import java.util.List;

/** Sends the membership messages of this node and counts them. Confined to the control thread. */
final class MessageSender {

    /** Limits a message to about 10 kB, which is small compared with the calls on the same connection. */
    static final int MAX_RECORDS = 100;

    private final MembershipTransport transport;
    private final SelfRecord self;
    private final MembershipView view;
    private long messages;
    private long bytes;

    private MessageSender(MembershipTransport transport, SelfRecord self, MembershipView view) {
        this.transport = transport;
        this.self = self;
        this.view = view;
    }

    static MessageSender create(MembershipTransport transport, SelfRecord self, MembershipView view) {
        return new MessageSender(transport, self, view);
    }

    void send(InetSocketAddress to, MembershipMessage.Builder message) {
        message.setSenderIncarnation(self.current().shortIncarnation()).setJoining(!self.isJoined());
        ByteString body = message.build().toByteString();
        messages++;
        bytes += body.size();
        transport.send(to, body);
    }

    /** Sends the message with the digest of the view, which lets the receiver detect a difference between the views. */
    void sendWithRoot(InetSocketAddress to, MembershipMessage.Builder message) {
        send(to, message.setRoot(view.root()));
    }

    void sendRecords(InetSocketAddress to, List<MemberRecord> records) {
        for (int from = 0; from < records.size(); from += MAX_RECORDS) {
            int end = Math.min(records.size(), from + MAX_RECORDS);
            MembershipMessage.Builder message = MembershipMessage.newBuilder();
            records.subList(from, end).forEach(member -> message.addRecords(MembershipCodec.encode(member)));
            send(to, message);
        }
    }

    long messages() {
        return messages;
    }

    long bytes() {
        return bytes;
    }
}
