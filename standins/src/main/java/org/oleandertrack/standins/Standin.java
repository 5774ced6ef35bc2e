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

/** A running stand-in: an HTTP server that simulates an external system. Thread-safe. */
public final class Standin implements AutoCloseable {

    /** Stops the servers of a stand-in. */
    @FunctionalInterface
    private interface StopAction {
        void run() throws IOException;
    }

    private final int mPort;
    private final StopAction mStopAction;

    private Standin(int port, StopAction stop) {
        mPort = port;
        mStopAction = stop;
    }

    // Life-cycle

    /**
     * Starts a stand-in for the platform, that is its table service, object store and host list.
     *
     * @param port the port, or 0 for a free one
     * @throws IOException if the address cannot be bound
     */
    public static Standin platform(String address, int port) throws IOException {
        return startServer(address, port, new PlatformHandler());
    }

    /**
     * Starts a stand-in for a target that is not a model engine.
     *
     * @param port the port, or 0 for a free one
     * @throws IOException if the address cannot be bound
     */
    public static Standin service(String address, int port, long delayMillis) throws IOException {
        return startServer(address, port, new ServiceHandler(delayMillis));
    }

    /**
     * Starts a stand-in for a model engine.
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

    /** Stops the stand-in and closes all its connections without waiting for running requests. */
    @Override
    public void close() throws IOException {
        mStopAction.run();
    }

    // Accessors

    public int port() {
        return mPort;
    }

    // Helpers

    private static Standin startServer(String address, int port, RequestHandler handler)
            throws IOException {
        StandinServer server = new StandinServer(address, port, handler);
        server.start();
        return new Standin(server.port(), server::stop);
    }

    /** An HTTP server behind a relay that cancels a request when its client disconnects. */
    private static final class EngineServer {

        private final StandinServer mServer;
        private final ConnectionRelay mRelay;

        EngineServer(String address, int port, RequestHandler handler) throws IOException {
            mServer = new StandinServer("127.0.0.1", 0, r -> handleUntilClosed(r, handler));
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

        private void handleUntilClosed(Request request, RequestHandler handler) throws IOException {
            mRelay.handleUntilClosed(request, handler);
        }
    }
}
