package io.beryldock.forwarding;

import io.beryldock.admission.TargetGate;
import io.beryldock.call.ServiceName;
import java.net.InetSocketAddress;

/** The target in this VM as it announced itself, with the gate in front of it. Immutable except for the gate. */
public record AnnouncedTarget(ServiceName service, InetSocketAddress address, TargetGate gate) {}
