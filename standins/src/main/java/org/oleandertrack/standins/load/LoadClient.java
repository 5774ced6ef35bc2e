package org.oleandertrack.standins.load;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Sends a bounded number of calls over a fixed number of connections, each of which sends its next
 * call when the answer has arrived. A failed call is not repeated. A call that is under way when
 * the time is over counts as an error. Each run takes a new instance.
 */
public final class LoadClient {

    private static final String STREAM_END = "data: [DONE]";

    private final LoadOptions mOptions;
    private final RequestTemplate mTemplate;
    private final LoadResult mResult;
    private final AtomicLong mNextCall = new AtomicLong(1);
    private long mDeadlineNanos;

    public LoadClient(LoadOptions options) {
        mOptions = options;
        mTemplate = new RequestTemplate(options);
        mResult = new LoadResult(options.stream());
    }

    /**
     * Sends the calls and waits for their answers.
     *
     * @throws InterruptedException if the calling thread is interrupted
     */
    public LoadResult run() throws InterruptedException {
        long startNanos = System.nanoTime();
        mDeadlineNanos = startNanos + TimeUnit.SECONDS.toNanos(mOptions.maxSeconds());
        List<Thread> workers = new ArrayList<>();
        for (int i = 0; i < mOptions.concurrency(); i++) {
            workers.add(Thread.ofVirtual().name("load-", i).start(this::work));
        }
        for (Thread worker : workers) {
            worker.join();
        }
        mResult.setElapsed(System.nanoTime() - startNanos);
        return mResult;
    }

    private void work() {
        Optional<LoadConnection> connection = Optional.empty();
        while (remainingMillis() > 0) {
            long callNumber = mNextCall.getAndIncrement();
            if (callNumber > mOptions.calls()) {
                break;
            }
            connection = call(connection, mTemplate.bytes(callNumber));
        }
        connection.ifPresent(LoadClient::close);
    }

    /** Sends a call and returns the connection if it can carry another one. */
    private Optional<LoadConnection> call(Optional<LoadConnection> reusable, byte[] request) {
        Optional<LoadConnection> current = reusable;
        try {
            if (current.isEmpty()) {
                current = Optional.of(connect());
            }
            LoadConnection connection = current.get();
            long startNanos = System.nanoTime();
            AnswerReader.Answer answer = connection.call(request, timeoutMillis());
            count(answer, startNanos, System.nanoTime());
            if (answer.keepAlive()) {
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

    private void count(AnswerReader.Answer answer, long startNanos, long endNanos) {
        if (answer.status() >= 400) {
            mResult.addError("status " + answer.status());
        } else if (mOptions.stream() && !answer.bodyEnd().stripTrailing().endsWith(STREAM_END)) {
            mResult.addError("stream without end");
        } else {
            mResult.addAnswer(answer, startNanos, endNanos);
        }
    }

    private LoadConnection connect() throws IOException {
        return new LoadConnection(mOptions.url().getHost(), mOptions.port(), timeoutMillis());
    }

    private int timeoutMillis() throws SocketTimeoutException {
        long remainingMillis = remainingMillis();
        if (remainingMillis <= 0) {
            throw new SocketTimeoutException("the time of the run is over");
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
