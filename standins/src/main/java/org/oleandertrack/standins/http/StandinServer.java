package org.oleandertrack.standins.http;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** An HTTP server that handles each request on a virtual thread. */
public final class StandinServer {

    private static final int BACKLOG_CONNECTIONS = 1024;

    static {
        // Without TCP_NODELAY, each response waits 40 ms for the client's delayed acknowledgement.
        System.setProperty("sun.net.httpserver.nodelay", "true");
        // By default the server closes idle connections beyond 200, or after 30 s, which causes
        // random failures in clients that reuse connections.
        System.setProperty("sun.net.httpserver.maxIdleConnections", "20000");
        System.setProperty("sun.net.httpserver.idleInterval", "3600");
    }

    private final HttpServer mServer;
    private final ExecutorService mExecutor;
    private final RequestHandler mHandler;

    /**
     * Binds the address; port 0 means a free port.
     *
     * @throws IOException if the address cannot be bound
     */
    public StandinServer(String address, int port, RequestHandler handler) throws IOException {
        mHandler = handler;
        mServer = HttpServer.create(new InetSocketAddress(address, port), BACKLOG_CONNECTIONS);
        mExecutor = Executors.newVirtualThreadPerTaskExecutor();
        mServer.setExecutor(mExecutor);
        mServer.createContext("/", this::handle);
    }

    // Life-cycle

    /** Starts accepting requests. */
    public void start() {
        mServer.start();
    }

    /** Closes all connections without waiting for running requests. */
    public void stop() {
        mServer.stop(0);
        mExecutor.shutdownNow();
    }

    // Accessors

    public int port() {
        return mServer.getAddress().getPort();
    }

    // Helpers

    private void handle(HttpExchange exchange) throws IOException {
        Request request = null;
        try {
            request = new Request(exchange);
            mHandler.handle(request);
        } catch (BadRequestException e) {
            if (request == null) {
                throw e;
            }
            request.sendError(400, e.getMessage());
        } catch (RuntimeException e) {
            System.err.println("request " + exchange.getRequestURI() + " failed: " + e);
            throw e;
        }
    }
}
