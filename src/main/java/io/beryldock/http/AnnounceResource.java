package io.beryldock.http;

import io.beryldock.forwarding.Announcement;
import io.beryldock.settings.SettingsException;
import io.beryldock.settings.SettingsReader;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.ws.rs.Consumes;
import jakarta.ws.rs.POST;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.core.Context;
import jakarta.ws.rs.core.MediaType;
import jakarta.ws.rs.core.Response;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.ToIntFunction;

/**
 * Accepts announcements of the target in the node's own VM, on the loopback listener only.
 *
 * <p>Thread safe.
 */
@Path("/beryldock/announce")
@Produces(MediaType.APPLICATION_JSON)
public final class AnnounceResource {

    private final Consumer<Announcement> announcements;
    private final ToIntFunction<HttpServletRequest> callersPort;

    AnnounceResource(Consumer<Announcement> announcements, ToIntFunction<HttpServletRequest> callersPort) {
        this.announcements = announcements;
        this.callersPort = callersPort;
    }

    @POST
    @Consumes(MediaType.APPLICATION_JSON)
    public Response announce(@Context HttpServletRequest servlet, String json) {
        if (servlet.getLocalPort() == callersPort.applyAsInt(servlet)) {
            return Response.status(Response.Status.FORBIDDEN)
                    .entity(Map.of("error", "announcements are taken on the loopback listener only"))
                    .build();
        }
        try {
            announcements.accept(SettingsReader.parse(json, Announcement.class));
        } catch (SettingsException e) {
            return Response.status(Response.Status.BAD_REQUEST)
                    .entity(Map.of("error", e.getMessage()))
                    .build();
        }
        return Response.noContent().build();
    }
}
