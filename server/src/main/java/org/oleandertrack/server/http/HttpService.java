package org.oleandertrack.server.http;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.health.HealthCheckRegistry;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.dropwizard.core.Configuration;
import io.dropwizard.core.server.DefaultServerFactory;
import io.dropwizard.core.setup.Environment;
import io.dropwizard.jackson.Jackson;
import io.dropwizard.jersey.validation.Validators;
import io.dropwizard.jetty.GzipHandlerFactory;
import io.dropwizard.jetty.HttpConnectorFactory;
import io.dropwizard.logging.common.ExternalLoggingFactory;
import io.dropwizard.util.DataSize;
import io.dropwizard.util.Duration;
import jakarta.servlet.DispatcherType;
import java.util.EnumSet;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.NetworkConnector;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.handler.GracefulHandler;
import org.glassfish.jersey.server.ServerProperties;

/** A Dropwizard HTTP server with an optional port for calls and a port for administration. */
public final class HttpService {

    private static final int FIRST_CONNECTOR_INDEX = 0;

    /**
     * Delay between closing the listeners and stopping the server, during which requests on
     * connections that were just accepted are still answered. It is many times the round-trip time
     * between availability zones.
     */
    private static final long LISTENER_CLOSE_DELAY_NANOS = 500_000_000L;

    private final HttpServiceConfig mConfig;
    private final Consumer<Environment> mSetup;
    private Server mServer;

    /**
     * Creates a server without starting it.
     *
     * @param setup registers resources and servlets; called when the server starts
     */
    public HttpService(HttpServiceConfig config, Consumer<Environment> setup) {
        mConfig = config;
        mSetup = setup;
    }

    // Life-cycle

    /** Starts the server and returns once it accepts connections. */
    public void start() throws Exception {
        Configuration configuration = new Configuration();
        configuration.setLoggingFactory(new ExternalLoggingFactory());
        configuration.setServerFactory(createServerFactory());
        Environment environment = createEnvironment(configuration);
        environment.healthChecks().register("process", new ProcessHealthCheck());
        mSetup.accept(environment);
        mServer = configuration.getServerFactory().build(environment);
        mServer.setErrorHandler(new ResultCodeErrorHandler());
        // On shutdown, lets responses in progress complete before their connections are closed.
        mServer.insertHandler(new GracefulHandler());
        mServer.setStopAtShutdown(false);
        mServer.start();
    }

    /**
     * Stops the server. The listeners close first, so that no connection is accepted and then
     * reset. Requests in progress have the grace period to complete.
     */
    public void stop() throws Exception {
        if (mServer == null) {
            return;
        }
        for (Connector connector : mServer.getConnectors()) {
            ((NetworkConnector) connector).close();
        }
        LockSupport.parkNanos(LISTENER_CLOSE_DELAY_NANOS);
        mServer.stop();
    }

    // Accessors

    /**
     * Returns the port for calls, or the administration port if there is no port for calls. Valid
     * once the server has started.
     */
    public int port() {
        return localPort(FIRST_CONNECTOR_INDEX);
    }

    /** Returns the administration port; valid once the server has started. */
    public int adminPort() {
        return localPort(mServer.getConnectors().length - 1);
    }

    // Helpers

    private int localPort(int index) {
        return ((NetworkConnector) mServer.getConnectors()[index]).getLocalPort();
    }

    private Environment createEnvironment(Configuration configuration) {
        ObjectMapper mapper = Jackson.newObjectMapper();
        Environment environment =
                new Environment(
                        mConfig.name(),
                        mapper,
                        Validators.newValidatorFactory(),
                        new MetricRegistry(),
                        getClass().getClassLoader(),
                        new HealthCheckRegistry(),
                        configuration);
        // The buffer would hold back the first events of a stream, and a length computed from it
        // would complete a response that broke off.
        environment.jersey().property(ServerProperties.OUTBOUND_CONTENT_LENGTH_BUFFER, 0);
        environment
                .servlets()
                .addFilter("servlet-channel", new ServletChannelFilter())
                .addMappingForUrlPatterns(EnumSet.of(DispatcherType.REQUEST), false, "/*");
        environment.jersey().register(new BrokenResponseInterceptor());
        return environment;
    }

    private DefaultServerFactory createServerFactory() {
        DefaultServerFactory factory = new DefaultServerFactory();
        factory.setRequestLogFactory(new NoRequestLogFactory());
        factory.setEnableVirtualThreads(true);
        factory.setRegisterDefaultExceptionMappers(false);
        factory.setShutdownGracePeriod(Duration.milliseconds(mConfig.shutdownGraceMillis()));
        // Compression would buffer the chunks of a streamed response.
        GzipHandlerFactory gzip = new GzipHandlerFactory();
        gzip.setEnabled(false);
        factory.setGzipFilterFactory(gzip);
        factory.setApplicationConnectors(
                mConfig.port().isPresent()
                        ? List.of(createConnector(mConfig.port().get()))
                        : List.of());
        factory.setAdminConnectors(List.of(createConnector(mConfig.adminPort())));
        return factory;
    }

    private HttpConnectorFactory createConnector(int port) {
        HttpConnectorFactory connector = new HttpConnectorFactory();
        connector.setBindHost(mConfig.address());
        connector.setPort(port);
        connector.setMaxRequestHeaderSize(DataSize.bytes(mConfig.maxHeaderBytes()));
        connector.setIdleTimeout(Duration.milliseconds(mConfig.idleTimeoutMillis()));
        return connector;
    }
}
