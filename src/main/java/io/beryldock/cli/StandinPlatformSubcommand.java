package io.beryldock.cli;

import io.beryldock.standin.StandinPlatformServer;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.Option;

/** Runs the stand-in of the platform store until the process is ended. */
public final class StandinPlatformSubcommand implements Subcommand {

    private static final int DEFAULT_PORT = 7000;

    @Option(name = "--port", metaVar = "N", usage = "port to listen on, 0 for any free one")
    private int port = DEFAULT_PORT;

    @Option(name = "--address", metaVar = "IP", usage = "address to listen on")
    private String address = "127.0.0.1";

    @Override
    public int run(PrintStream out, PrintStream err) throws Exception {
        try (StandinPlatformServer server = StandinPlatformServer.start(new InetSocketAddress(address, port))) {
            out.println("platform store at " + server.uri());
            out.flush();
            new CountDownLatch(1).await();
        }
        return OK;
    }
}
