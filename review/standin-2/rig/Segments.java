package rig;

import java.io.IOException;
import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodType;
import java.lang.reflect.Method;
import java.nio.channels.SocketChannel;
import jdk.incubator.foreign.CLinker;
import jdk.incubator.foreign.FunctionDescriptor;
import jdk.incubator.foreign.MemoryAccess;
import jdk.incubator.foreign.MemoryAddress;
import jdk.incubator.foreign.MemorySegment;
import jdk.incubator.foreign.ResourceScope;

/**
 * Sets the largest segment of a client's own connection to that of an Ethernet. Without it segments on loopback have 64 KB,
 * and the kernel gives the sender a buffer of megabytes from the start.
 */
final class Segments {

    static final int ETHERNET = 1448;

    private static final int IPPROTO_TCP = 6;
    private static final int TCP_MAXSEG = 2;

    private Segments() {}

    /** Limits the segments that the other end may send; to be called before the connect. */
    static void limit(SocketChannel channel, int bytes) throws IOException {
        try (ResourceScope scope = ResourceScope.newConfinedScope()) {
            MethodHandle setsockopt = CLinker.getInstance()
                    .downcallHandle(
                            CLinker.systemLookup().lookup("setsockopt").orElseThrow(),
                            MethodType.methodType(
                                    int.class, int.class, int.class, int.class, MemoryAddress.class, int.class),
                            FunctionDescriptor.of(
                                    CLinker.C_INT,
                                    CLinker.C_INT,
                                    CLinker.C_INT,
                                    CLinker.C_INT,
                                    CLinker.C_POINTER,
                                    CLinker.C_INT));
            MemorySegment value = MemorySegment.allocateNative(CLinker.C_INT, scope);
            MemoryAccess.setInt(value, bytes);
            Method descriptor = channel.getClass().getMethod("getFDVal");
            descriptor.setAccessible(true);
            int fd = (int) descriptor.invoke(channel);
            int result = (int) setsockopt.invokeExact(
                    fd, IPPROTO_TCP, TCP_MAXSEG, value.address(), (int) value.byteSize());
            if (result != 0) {
                throw new IOException("the segments of the connection could not be limited");
            }
        } catch (IOException | RuntimeException e) {
            throw e;
        } catch (Throwable e) {
            throw new IOException(e);
        }
    }
}
