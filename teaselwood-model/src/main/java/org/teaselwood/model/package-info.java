/** Immutable types shared by every package. */
package org.teaselwood.model;
