package org.oleandertrack.standins.load;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Sends a fixed number of calls over a fixed number of connections (a closed loop: each connection
 * sends its next call after the response to the previous one). Failed calls are not retried. A call
 * that is in progress at the time limit counts as an error. An instance is used for one run.
 */
public final class LoadClient {

    private static final String STREAM_END = "data: [DONE]";

    private final LoadOptions mOptions;
    private final RequestTemplate mTemplate;
    private final LoadResult mResult;
    private final AtomicLong mNextCallNumber = new AtomicLong(1);
    private long mDeadlineNanos;

    public LoadClient(LoadOptions options) {
        mOptions = options;
        mTemplate = new RequestTemplate(options);
        mResult = new LoadResult(options.stream());
    }

    /**
     * Sends the calls and waits for their responses.
     *
     * @throws InterruptedException if the calling thread is interrupted
     */
    public LoadResult run() throws InterruptedException {
        long startNanos = System.nanoTime();
        mDeadlineNanos = startNanos + TimeUnit.SECONDS.toNanos(mOptions.maxSeconds());
        List<Thread> workers = new ArrayList<>();
        for (int i = 0; i < mOptions.concurrency(); i++) {
            workers.add(Thread.ofVirtual().name("load-", i).start(this::runWorker));
        }
        for (Thread worker : workers) {
            worker.join();
        }
        mResult.setElapsedNanos(System.nanoTime() - startNanos);
        return mResult;
    }

    private void runWorker() {
        Optional<LoadConnection> connection = Optional.empty();
        while (remainingMillis() > 0) {
            long callNumber = mNextCallNumber.getAndIncrement();
            if (callNumber > mOptions.calls()) {
                break;
            }
            connection = sendCall(connection, mTemplate.bytes(callNumber));
        }
        connection.ifPresent(LoadClient::close);
    }

    /** Sends a call and returns the connection if it can be reused for another one. */
    private Optional<LoadConnection> sendCall(Optional<LoadConnection> reusable, byte[] request) {
        Optional<LoadConnection> current = reusable;
        try {
            if (current.isEmpty()) {
                current = Optional.of(connect());
            }
            LoadConnection connection = current.get();
            long startNanos = System.nanoTime();
            ResponseReader.Response response = connection.send(request, timeoutMillis());
            recordResponse(response, startNanos, System.nanoTime());
            if (response.keepAlive()) {
                return current;
            }
        } catch (SocketTimeoutException e) {
            mResult.addError("timeout");
        } catch (IOException | NumberFormatException e) {
            mResult.addError(e.getClass().getSimpleName());
        }
        current.ifPresent(LoadClient::close);
        return Optional.empty();
    }

    private void recordResponse(ResponseReader.Response response, long startNanos, long endNanos) {
        if (response.status() >= 400) {
            mResult.addError("status " + response.status());
        } else if (mOptions.stream() && !response.bodyTail().stripTrailing().endsWith(STREAM_END)) {
            mResult.addError("stream without end");
        } else {
            mResult.addResponse(response, startNanos, endNanos);
        }
    }

    private LoadConnection connect() throws IOException {
        return new LoadConnection(mOptions.url().getHost(), mOptions.port(), timeoutMillis());
    }

    private int timeoutMillis() throws SocketTimeoutException {
        long remainingMillis = remainingMillis();
        if (remainingMillis <= 0) {
            throw new SocketTimeoutException("the time limit of the run has passed");
        }
        return (int) remainingMillis;
    }

    private long remainingMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mDeadlineNanos - System.nanoTime());
    }

    private static void close(LoadConnection connection) {
        try {
            connection.close();
        } catch (IOException e) {
            System.err.println("closing a connection failed: " + e);
        }
    }
}
