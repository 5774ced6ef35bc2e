package org.oleandertrack.standins.load;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A connection that one worker uses for one call after another. Used by one thread. */
final class LoadConnection implements AutoCloseable {

    private final Socket mSocket = new Socket();
    private final AnswerReader mReader;

    LoadConnection(String host, int port, int timeoutMillis) throws IOException {
        try {
            mSocket.setTcpNoDelay(true);
            mSocket.connect(new InetSocketAddress(host, port), timeoutMillis);
            mReader = new AnswerReader(mSocket.getInputStream(), System::nanoTime);
        } catch (IOException e) {
            mSocket.close();
            throw e;
        }
    }

    /**
     * Sends a request and reads its answer.
     *
     * @throws IOException if no complete answer arrives in time
     */
    AnswerReader.Answer call(byte[] request, int timeoutMillis) throws IOException {
        mSocket.setSoTimeout(timeoutMillis);
        mSocket.getOutputStream().write(request);
        return mReader.read();
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
