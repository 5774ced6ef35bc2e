package org.oleandertrack.standins.load;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A persistent connection over which a worker sends its calls in sequence. Used by one thread. */
final class LoadConnection implements AutoCloseable {

    private final Socket mSocket = new Socket();
    private final ResponseReader mReader;

    LoadConnection(String host, int port, int timeoutMillis) throws IOException {
        try {
            mSocket.setTcpNoDelay(true);
            mSocket.connect(new InetSocketAddress(host, port), timeoutMillis);
            mReader = new ResponseReader(mSocket.getInputStream(), System::nanoTime);
        } catch (IOException e) {
            mSocket.close();
            throw e;
        }
    }

    /**
     * Sends a request and reads its response.
     *
     * @throws java.net.SocketTimeoutException if a read takes longer than the timeout
     * @throws IOException if the connection fails or ends before the response is complete
     */
    ResponseReader.Response send(byte[] request, int timeoutMillis) throws IOException {
        mSocket.setSoTimeout(timeoutMillis);
        mSocket.getOutputStream().write(request);
        return mReader.read();
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
