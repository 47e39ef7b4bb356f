package org.teaselwood.protocol;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;

/** Factory of Vert.x instances with a small memory footprint: one event loop and no file caches. Stateless. */
public final class LowMemoryVertx {
    private static final long BLOCKED_THREAD_CHECK_MILLISECONDS = 60_000;

    private LowMemoryVertx() {}

    /**
     * Sets system properties that reduce the resident memory of Netty and Vert.x. They are read when the classes of
     * these libraries are initialised, so this method must be called first. The DNS resolver is disabled because all
     * addresses are IP addresses.
     */
    public static void limitMemory() {
        System.setProperty("io.netty.allocator.type", "unpooled");
        System.setProperty("io.netty.noPreferDirect", "true");
        System.setProperty("io.netty.jfr.enabled", "false");
        System.setProperty("vertx.disableDnsResolver", "true");
    }

    /**
     * Creates an instance. The caller must keep it reachable, as its connections close when it is garbage-collected.
     */
    public static Vertx create() {
        return Vertx.vertx(new VertxOptions()
                .setEventLoopPoolSize(1)
                .setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1)
                .setBlockedThreadCheckInterval(BLOCKED_THREAD_CHECK_MILLISECONDS)
                .setFileSystemOptions(new FileSystemOptions()
                        .setClassPathResolvingEnabled(false)
                        .setFileCachingEnabled(false)));
    }
}
