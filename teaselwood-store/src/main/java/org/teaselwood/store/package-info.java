/** Key-value service client, job records and configuration declarations. */
package org.teaselwood.store;
