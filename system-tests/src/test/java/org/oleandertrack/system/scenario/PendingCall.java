package org.oleandertrack.system.scenario;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.http.HttpHeaders;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.ReentrantLock;

/** A request that was sent, and the part of its answer that has arrived. Thread safe. */
final class PendingCall {

    private static final long ANSWER_TIMEOUT_SECONDS = 45;

    private final SentRequest mRequest;
    private final Runnable mCloseConnection;
    private final CompletableFuture<Answer> mAnswer = new CompletableFuture<>();
    private final ReentrantLock mLock = new ReentrantLock();
    private final StringBuilder mBody = new StringBuilder();
    private CompletableFuture<?> mExchange = CompletableFuture.completedFuture(null);
    private InputStream mInput;
    private boolean mDisconnected;

    /**
     * Creates a call.
     *
     * @param closeConnection called when the answer has ended
     */
    PendingCall(SentRequest request, Runnable closeConnection) {
        mRequest = request;
        mCloseConnection = closeConnection;
    }

    // Operations

    /** Starts to read the answer in a thread of its own. The sender calls this once. */
    void startReading(CompletableFuture<HttpResponse<InputStream>> exchange) {
        mLock.lock();
        try {
            mExchange = exchange;
        } finally {
            mLock.unlock();
        }
        Thread.ofVirtual()
                .start(
                        () -> {
                            try {
                                read(exchange);
                            } finally {
                                mCloseConnection.run();
                            }
                        });
    }

    /** Closes the connection without waiting for the rest of the answer. */
    void disconnect() {
        mLock.lock();
        try {
            mDisconnected = true;
            mExchange.cancel(true);
            closeInput();
        } finally {
            mLock.unlock();
        }
    }

    /**
     * Waits for the end of the answer.
     *
     * @throws AssertionError if the answer does not end in time
     */
    Answer await() {
        try {
            return mAnswer.get(ANSWER_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (TimeoutException e) {
            throw new AssertionError(
                    "no answer to " + mRequest + ", received: " + receivedBody(), e);
        } catch (ExecutionException e) {
            throw new AssertionError("reading the answer to " + mRequest + " failed", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    // Accessors

    SentRequest request() {
        return mRequest;
    }

    boolean isDone() {
        return mAnswer.isDone();
    }

    /** Returns the part of the body that has arrived. */
    String receivedBody() {
        mLock.lock();
        try {
            return mBody.toString();
        } finally {
            mLock.unlock();
        }
    }

    // Helpers

    private void read(CompletableFuture<HttpResponse<InputStream>> exchange) {
        HttpResponse<InputStream> response;
        try {
            response = exchange.get();
        } catch (Exception e) {
            mAnswer.complete(
                    new Answer(0, Optional.empty(), "", Optional.of("no answer: " + rootCause(e))));
            return;
        }
        Optional<HttpHeaders> headers = Optional.of(response.headers());
        try (InputStream input = response.body()) {
            setInput(input);
            byte[] buffer = new byte[8_192];
            for (int read = input.read(buffer); read >= 0; read = input.read(buffer)) {
                append(new String(buffer, 0, read, StandardCharsets.UTF_8));
            }
            complete(response, headers, Optional.empty());
        } catch (IOException e) {
            complete(response, headers, Optional.of("the answer was cut off: " + rootCause(e)));
        }
    }

    private void setInput(InputStream input) {
        mLock.lock();
        try {
            mInput = input;
            if (mDisconnected) {
                closeInput();
            }
        } finally {
            mLock.unlock();
        }
    }

    private void complete(
            HttpResponse<InputStream> response,
            Optional<HttpHeaders> headers,
            Optional<String> failure) {
        mAnswer.complete(new Answer(response.statusCode(), headers, receivedBody(), failure));
    }

    private void append(String text) {
        mLock.lock();
        try {
            mBody.append(text);
        } finally {
            mLock.unlock();
        }
    }

    private void closeInput() {
        if (mInput != null) {
            try {
                mInput.close();
            } catch (IOException e) {
                // The thread that reads the answer gets the error of the closed stream and reports
                // it.
                mDisconnected = true;
            }
        }
    }

    private static Throwable rootCause(Throwable failure) {
        Throwable cause = failure;
        // When a connection is refused, the JDK's client throws a ConnectException whose cause is a
        // ClosedChannelException.
        while (cause.getCause() != null && !(cause instanceof ConnectException)) {
            cause = cause.getCause();
        }
        return cause;
    }
}
