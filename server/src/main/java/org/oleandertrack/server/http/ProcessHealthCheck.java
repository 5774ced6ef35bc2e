package org.oleandertrack.server.http;

import com.codahale.metrics.health.HealthCheck;

/** Reports healthy whenever the process answers; readiness has its own endpoint. */
final class ProcessHealthCheck extends HealthCheck {

    @Override
    protected Result check() {
        return Result.healthy();
    }
}
