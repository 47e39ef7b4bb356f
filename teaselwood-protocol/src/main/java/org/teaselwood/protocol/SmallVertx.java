package org.teaselwood.protocol;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;

/** Vert.x for a process with a small resident set: one event loop and no caches of files. Stateless. */
public final class SmallVertx {
    private static final long BLOCKED_THREAD_CHECK_MILLISECONDS = 60_000;

    private SmallVertx() {}

    /**
     * Sets what keeps code and buffers of Netty and Vert.x out of the resident set. The properties are read when their
     * classes are loaded, so call this first. Addresses are IP numbers, so that no DNS resolver is needed.
     */
    public static void limitMemory() {
        System.setProperty("io.netty.allocator.type", "unpooled");
        System.setProperty("io.netty.noPreferDirect", "true");
        System.setProperty("io.netty.jfr.enabled", "false");
        System.setProperty("vertx.disableDnsResolver", "true");
    }

    /** A new instance; keep it reachable, as a collected one closes its connections. */
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
