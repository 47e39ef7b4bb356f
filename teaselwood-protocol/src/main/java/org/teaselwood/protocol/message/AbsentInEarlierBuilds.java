package org.teaselwood.protocol.message;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Marks a boolean at the end of a message that earlier builds do not send. A message without it decodes as false, so
 * that both builds can run together during a rolling upgrade.
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface AbsentInEarlierBuilds {}
