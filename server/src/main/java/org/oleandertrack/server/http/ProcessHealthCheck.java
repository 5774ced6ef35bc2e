package org.oleandertrack.server.http;

import com.codahale.metrics.health.HealthCheck;

/** Healthy as long as the process answers; readiness has a page of its own. */
final class ProcessHealthCheck extends HealthCheck {

    @Override
    protected Result check() {
        return Result.healthy();
    }
}
