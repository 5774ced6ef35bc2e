package org.oleandertrack.standins;

import java.io.IOException;
import org.oleandertrack.standins.engine.EngineHandler;
import org.oleandertrack.standins.engine.EngineOptions;
import org.oleandertrack.standins.http.ConnectionRelay;
import org.oleandertrack.standins.http.Request;
import org.oleandertrack.standins.http.RequestHandler;
import org.oleandertrack.standins.http.StandinServer;
import org.oleandertrack.standins.platform.PlatformHandler;
import org.oleandertrack.standins.service.ServiceHandler;

/** A running stand-in. Thread-safe. */
public final class Standin implements AutoCloseable {

    /** Stops a part of a stand-in. */
    @FunctionalInterface
    private interface Stop {
        void run() throws IOException;
    }

    private final int mPort;
    private final Stop mStop;

    private Standin(int port, Stop stop) {
        mPort = port;
        mStop = stop;
    }

    // Life-cycle

    /**
     * Starts a platform.
     *
     * @param port the port, or 0 for a free one
     * @throws IOException if the address cannot be bound
     */
    public static Standin platform(String address, int port) throws IOException {
        return serve(address, port, new PlatformHandler());
    }

    /**
     * Starts a plain service.
     *
     * @param port the port, or 0 for a free one
     * @throws IOException if the address cannot be bound
     */
    public static Standin service(String address, int port, long delayMillis) throws IOException {
        return serve(address, port, new ServiceHandler(delayMillis));
    }

    /**
     * Starts a model engine.
     *
     * @param port the port, or 0 for a free one
     * @throws IOException if the address cannot be bound
     */
    public static Standin engine(String address, int port, EngineOptions options)
            throws IOException {
        EngineHandler handler = new EngineHandler(options);
        EngineServer server = new EngineServer(address, port, handler);
        server.start();
        return new Standin(server.port(), server::stop);
    }

    /** Closes all connections at once. */
    @Override
    public void close() throws IOException {
        mStop.run();
    }

    // Accessors

    public int port() {
        return mPort;
    }

    // Helpers

    private static Standin serve(String address, int port, RequestHandler handler)
            throws IOException {
        StandinServer server = new StandinServer(address, port, handler);
        server.start();
        return new Standin(server.port(), server::stop);
    }

    /** A server behind a relay that reports closed connections. */
    private static final class EngineServer {

        private final StandinServer mServer;
        private final ConnectionRelay mRelay;

        EngineServer(String address, int port, RequestHandler handler) throws IOException {
            mServer = new StandinServer("127.0.0.1", 0, r -> handleWatched(r, handler));
            mRelay = new ConnectionRelay(address, port, mServer.port());
        }

        void start() {
            mServer.start();
            mRelay.start();
        }

        void stop() throws IOException {
            mRelay.stop();
            mServer.stop();
        }

        int port() {
            return mRelay.port();
        }

        private void handleWatched(Request request, RequestHandler handler) throws IOException {
            mRelay.runUntilClosed(request, handler);
        }
    }
}
