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

/** A request that was sent, whose answer arrives piece by piece. Thread safe. */
final class PendingCall {

    private static final long MAX_ANSWER_SECONDS = 45;

    private final SentRequest mRequest;
    private final Runnable mRelease;
    private final CompletableFuture<Answer> mAnswer = new CompletableFuture<>();
    private final ReentrantLock mLock = new ReentrantLock();
    private final StringBuilder mBody = new StringBuilder();
    private CompletableFuture<?> mExchange = CompletableFuture.completedFuture(null);
    private InputStream mInput;
    private boolean mLeft;

    /** Takes what frees the connection after the answer's end. */
    PendingCall(SentRequest request, Runnable release) {
        mRequest = request;
        mRelease = release;
    }

    // Operations

    /** Reads an answer whose head arrives later; called once, by the sender. */
    void follow(CompletableFuture<HttpResponse<InputStream>> exchange) {
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
                                mRelease.run();
                            }
                        });
    }

    /** Closes the connection before the answer is whole. */
    void leave() {
        mLock.lock();
        try {
            mLeft = true;
            mExchange.cancel(true);
            closeInput();
        } finally {
            mLock.unlock();
        }
    }

    /** Waits for the end of the answer. */
    Answer await() {
        try {
            return mAnswer.get(MAX_ANSWER_SECONDS, TimeUnit.SECONDS);
        } catch (TimeoutException e) {
            throw new AssertionError("no answer to " + mRequest + ", received: " + received(), e);
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

    /** Returns what has arrived of the body. */
    String received() {
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
                    new Answer(0, Optional.empty(), "", Optional.of("no answer: " + root(e))));
            return;
        }
        Optional<HttpHeaders> headers = Optional.of(response.headers());
        try (InputStream input = response.body()) {
            enter(input);
            byte[] buffer = new byte[8_192];
            for (int read = input.read(buffer); read >= 0; read = input.read(buffer)) {
                append(new String(buffer, 0, read, StandardCharsets.UTF_8));
            }
            complete(response, headers, Optional.empty());
        } catch (IOException e) {
            complete(response, headers, Optional.of("the answer was cut off: " + root(e)));
        }
    }

    private void enter(InputStream input) {
        mLock.lock();
        try {
            mInput = input;
            if (mLeft) {
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
        mAnswer.complete(new Answer(response.statusCode(), headers, received(), failure));
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
                // The reader sees the closed stream and reports it.
                mLeft = true;
            }
        }
    }

    private static Throwable root(Throwable failure) {
        Throwable cause = failure;
        // The JDK's client wraps a refused connection's ClosedChannelException.
        while (cause.getCause() != null && !(cause instanceof ConnectException)) {
            cause = cause.getCause();
        }
        return cause;
    }
}
